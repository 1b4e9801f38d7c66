#pragma once

#include "core/entry/Dispatcher.h"

namespace teaselfold {

/** Forwards agents' answers to callers: each token once and in order, all from one generation. */
class ResponseForwarder {
public:
    ResponseForwarder(RouterState& state, Dispatcher& dispatcher)
        : state(state)
        , dispatcher(dispatcher)
    {
    }

    void onAccepted(const EndpointId& endpoint, const GenerationAccepted& message);
    void onStarted(const EndpointId& endpoint, const GenerationStarted& message);
    void onRefused(const EndpointId& endpoint, const GenerationRefused& message, Instant now);
    void onTokens(const EndpointId& endpoint, const GenerationTokens& message, Instant now);
    void onFinished(const EndpointId& endpoint, const GenerationFinished& message, Instant now);
    void onFailed(const EndpointId& endpoint, const GenerationFailed& message, Instant now);
    void onUnknown(const EndpointId& endpoint, const GenerationUnknown& message, Instant now);
    void onCallAnswered(const EndpointId& endpoint, const CallAnswered& message, Instant now);
    void onCallFailed(const EndpointId& endpoint, const CallFailed& message, Instant now);
    /** Acknowledges the tokens that the caller's connection took, and resumes a stream paused by flow control. */
    void onCallerConsumed(const CallerConsumed& message);
    /** Cancels the request of a caller that disconnected. */
    void onCallerDisconnected(const CallerDisconnected& message, Instant now);
    /** Asks the agent to send the tokens from the next index on. */
    void resume(const LiveRequest& request);

private:
    /** @return the request whose current attempt is this generation at this endpoint, or nullptr. */
    LiveRequest* findAttempt(const EndpointId& endpoint, GenerationId generation);
    /**
     * Forwards the new tokens of a message, or drops them when the caller's window is full.
     * @param duplicates the number of leading tokens that were received before.
     */
    void receiveTokens(LiveRequest& request, const GenerationTokens& message, std::uint32_t duplicates, Instant now);
    void deliverTokens(LiveRequest& request, std::vector<std::string> texts, std::uint32_t firstIndex);
    void observeTokens(LiveRequest& request, std::size_t count, Instant now);
    void complete(LiveRequest& request, const GenerationFinished& message, Instant now);
    /** Keeps the finished stream until its caller's connection has taken the last tokens. */
    void retainUnacknowledged(const LiveRequest& request, const GenerationFinished& message, Instant now);
    /** Removes a request that completed from the quarantine, here and at the agents. */
    void clearSuspect(const LiveRequest& request, Instant now);

    RouterState& state;
    Dispatcher& dispatcher;
};

}
