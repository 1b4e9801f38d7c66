#pragma once

#include "core/entry/Dispatcher.h"

namespace teaselfold {

/** Carries the answers of agents to their callers: each token once, in order, from one generation. */
class GenerationFlow {
public:
    GenerationFlow(RouterState& state, Dispatcher& dispatcher)
        : state(state)
        , dispatcher(dispatcher)
    {
    }

    void accepted(const EndpointId& endpoint, const GenerationAccepted& message);
    void started(const EndpointId& endpoint, const GenerationStarted& message);
    void refused(const EndpointId& endpoint, const GenerationRefused& message, Instant now);
    void tokens(const EndpointId& endpoint, const GenerationTokens& message, Instant now);
    void finished(const EndpointId& endpoint, const GenerationFinished& message, Instant now);
    void failed(const EndpointId& endpoint, const GenerationFailed& message, Instant now);
    void unknown(const EndpointId& endpoint, const GenerationUnknown& message, Instant now);
    void answered(const EndpointId& endpoint, const CallAnswered& message, Instant now);
    void callFailed(const EndpointId& endpoint, const CallFailed& message, Instant now);
    /** The caller's connection took tokens. */
    void consumed(const CallerConsumed& message);
    /** The caller left. */
    void callerGone(const CallerDisconnected& message, Instant now);
    /** Asks the agent for the tokens from the next index on. */
    void resume(const LiveRequest& request);

private:
    LiveRequest* attempt(const EndpointId& endpoint, GenerationId generation);
    void take(LiveRequest& request, const GenerationTokens& message, std::uint32_t skipped, Instant now);
    void show(LiveRequest& request, std::vector<std::string> texts, std::uint32_t firstIndex);
    void observeTokens(LiveRequest& request, std::size_t count, Instant now);
    void complete(LiveRequest& request, const GenerationFinished& message, Instant now);
    void keepTail(const LiveRequest& request, const GenerationFinished& message, Instant now);
    void clearSuspect(const LiveRequest& request, Instant now);

    RouterState& state;
    Dispatcher& dispatcher;
};

}
