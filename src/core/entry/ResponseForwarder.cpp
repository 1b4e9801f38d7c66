#include "core/entry/ResponseForwarder.h"

#include "ports/HttpStatus.h"

#include <algorithm>
#include <iterator>

namespace teaselfold {

namespace {

    bool isNonStreaming(const LiveRequest& request)
    {
        const auto* completion = std::get_if<CompletionRequest>(&request.origin);
        return completion && !completion->stream;
    }

    double inMilliseconds(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

    Failure makeLossFailure(std::string message, Executed run)
    {
        return { ErrorCode::EndpointLost, std::move(message), run };
    }

}

void ResponseForwarder::onAccepted(const EndpointId& endpoint, const GenerationAccepted& message)
{
    LiveRequest* request = this->findAttempt(endpoint, message.generation);
    if (!request || request->accepted)
        return;
    request->accepted = true;
    this->state.endpoints.recordSubmissionAnswer(endpoint, true);
}

void ResponseForwarder::onStarted(const EndpointId& endpoint, const GenerationStarted& message)
{
    this->onAccepted(endpoint, GenerationAccepted { message.generation });
    if (LiveRequest* request = this->findAttempt(endpoint, message.generation))
        request->started = true;
}

void ResponseForwarder::onRefused(const EndpointId& endpoint, const GenerationRefused& message, Instant now)
{
    LiveRequest* request = this->findAttempt(endpoint, message.generation);
    if (!request)
        return;
    const Milliseconds wait
        = message.retryAfter.count() > 0 ? message.retryAfter : this->dispatcher.retryAfter(request->priority);
    this->dispatcher.attemptRefused(
        *request, { message.code, "the endpoint refused the request", Executed::No, wait }, now);
}

void ResponseForwarder::onTokens(const EndpointId& endpoint, const GenerationTokens& message, Instant now)
{
    LiveRequest* request = this->findAttempt(endpoint, message.generation);
    if (!request)
        return;
    this->onStarted(endpoint, GenerationStarted { message.generation });
    if (message.firstIndex > request->nextIndex) {
        if (!request->flowPaused)
            this->resume(*request);
        return;
    }
    const std::uint32_t duplicates = request->nextIndex - message.firstIndex;
    if (duplicates < message.texts.size())
        this->receiveTokens(*request, message, duplicates, now);
}

void ResponseForwarder::receiveTokens(
    LiveRequest& request, const GenerationTokens& message, std::uint32_t duplicates, Instant now)
{
    const bool nonStreaming = isNonStreaming(request);
    if (!nonStreaming && request.nextIndex - request.consumed >= this->state.limits.callerWindow) {
        request.flowPaused = true;
        return;
    }
    const std::uint32_t firstIndex = request.nextIndex;
    std::vector<std::string> newTexts(std::next(message.texts.begin(), duplicates), message.texts.end());
    request.nextIndex += static_cast<std::uint32_t>(newTexts.size());
    this->observeTokens(request, newTexts.size(), now);
    if (!nonStreaming) {
        this->deliverTokens(request, std::move(newTexts), firstIndex);
        return;
    }
    for (const std::string& text : newTexts)
        request.text += text;
    this->state.sendToAgent(request.endpoint, AcknowledgeTokens { request.generation, request.nextIndex });
}

void ResponseForwarder::deliverTokens(LiveRequest& request, std::vector<std::string> texts, std::uint32_t firstIndex)
{
    request.tokensDelivered = true;
    const ResumeToken token { request.endpoint, request.generation };
    this->state.sendToCaller(request.id, CallerTokens { token, firstIndex, std::move(texts) });
}

void ResponseForwarder::observeTokens(LiveRequest& request, std::size_t count, Instant now)
{
    if (!request.lastTokenAt) {
        this->state.observe(request, Metric::FirstToken, inMilliseconds(now - request.receivedAt));
    } else {
        const double perToken = inMilliseconds(now - *request.lastTokenAt) / static_cast<double>(count);
        this->state.observe(request, Metric::BetweenTokens, perToken);
    }
    request.lastTokenAt = now;
}

void ResponseForwarder::onFinished(const EndpointId& endpoint, const GenerationFinished& message, Instant now)
{
    LiveRequest* request = this->findAttempt(endpoint, message.generation);
    if (!request)
        return;
    if (message.tokenCount > request->nextIndex) {
        if (!request->flowPaused)
            this->resume(*request);
        return;
    }
    this->complete(*request, message, now);
}

void ResponseForwarder::complete(LiveRequest& request, const GenerationFinished& message, Instant now)
{
    this->clearSuspect(request, now);
    this->state.observe(request, Metric::OutputLength, message.tokenCount);
    if (isNonStreaming(request)) {
        this->state.sendToCaller(request.id,
            CallerCompletion { request.generation, std::move(request.text), message.tokenCount, message.reason });
    } else {
        this->state.sendToCaller(request.id, CallerFinished { message.tokenCount, message.reason });
        this->retainUnacknowledged(request, message, now);
    }
    this->dispatcher.end(request, Metric::Completed, now);
}

void ResponseForwarder::retainUnacknowledged(const LiveRequest& request, const GenerationFinished& message, Instant now)
{
    if (request.consumed >= message.tokenCount)
        return;
    const Instant expiresAt = now + this->state.limits.unacknowledgedTimeout;
    this->state.unacknowledged.add(request.id, { request.endpoint, message.generation, message.tokenCount, expiresAt });
}

void ResponseForwarder::onFailed(const EndpointId& endpoint, const GenerationFailed& message, Instant now)
{
    LiveRequest* request = this->findAttempt(endpoint, message.generation);
    if (!request)
        return;
    const ErrorCode code = message.failure.code;
    const bool died = code == ErrorCode::EngineFailed || code == ErrorCode::EndpointLost;
    if (died && message.failure.run != Executed::No && request->fingerprint != Fingerprint()) {
        this->state.quarantine.recordDeath(request->fingerprint, endpoint, now);
        this->state.sendToAllAgents(this->state.quarantine.delivery(now));
    }
    if (message.failure.run == Executed::No && !request->tokensDelivered)
        this->dispatcher.attemptRefused(*request, message.failure, now);
    else if (died)
        this->dispatcher.attemptLost(*request, message.failure, now);
    else
        this->dispatcher.fail(*request, message.failure, now);
}

void ResponseForwarder::onUnknown(const EndpointId& endpoint, const GenerationUnknown& message, Instant now)
{
    LiveRequest* request = this->findAttempt(endpoint, message.generation);
    if (!request)
        return;
    const Executed run = request->started ? Executed::Yes : Executed::Unknown;
    this->dispatcher.attemptLost(*request, makeLossFailure("the endpoint no longer holds the generation", run), now);
}

void ResponseForwarder::onCallAnswered(const EndpointId& endpoint, const CallAnswered& message, Instant now)
{
    LiveRequest* request = this->findAttempt(endpoint, message.call);
    if (!request)
        return;
    // Neither an agent nor the record of an earlier answer is trusted to hold what a caller can read as an answer.
    if (!isFinalHttpStatus(message.status))
        return this->dispatcher.attemptLost(
            *request, makeLossFailure("the service's answer has no valid status", Executed::Unknown), now);
    this->clearSuspect(*request, now);
    this->state.sendToCaller(
        request->id, CallerServiceResponse { message.status, message.headers, message.body, message.replayed });
    this->dispatcher.end(*request, Metric::Completed, now);
}

void ResponseForwarder::onCallFailed(const EndpointId& endpoint, const CallFailed& message, Instant now)
{
    LiveRequest* request = this->findAttempt(endpoint, message.call);
    if (!request)
        return;
    const bool endpointLost = message.failure.code == ErrorCode::EndpointLost;
    if (message.failure.run == Executed::No)
        this->dispatcher.attemptRefused(*request, message.failure, now);
    else if (endpointLost)
        this->dispatcher.attemptLost(*request, message.failure, now);
    else
        this->dispatcher.fail(*request, message.failure, now);
}

void ResponseForwarder::onCallerConsumed(const CallerConsumed& message)
{
    if (const auto stream = this->state.unacknowledged.recordConsumed(message.request, message.nextIndex))
        this->state.sendToAgent(stream->endpoint, AcknowledgeTokens { stream->generation, message.nextIndex });
    LiveRequest* request = this->state.requests.find(message.request);
    if (!request || message.nextIndex <= request->consumed || message.nextIndex > request->nextIndex)
        return;
    request->consumed = message.nextIndex;
    this->state.sendToAgent(request->endpoint, AcknowledgeTokens { request->generation, request->consumed });
    const bool belowLowWatermark = request->nextIndex - request->consumed <= this->state.limits.callerWindow / 2;
    if (!request->flowPaused || !belowLowWatermark)
        return;
    request->flowPaused = false;
    this->resume(*request);
}

void ResponseForwarder::onCallerDisconnected(const CallerDisconnected& message, Instant now)
{
    this->state.unacknowledged.forget(message.request);
    LiveRequest* request = this->state.requests.find(message.request);
    if (!request)
        return;
    this->dispatcher.cancelAttempt(*request);
    this->state.observe(*request, Metric::Cancelled);
    this->dispatcher.end(*request, Metric::Cancelled, now);
}

void ResponseForwarder::resume(const LiveRequest& request)
{
    this->state.observe(request, Metric::LinkResume);
    this->state.sendToAgent(request.endpoint, ResumeGeneration { request.generation, request.team, request.nextIndex });
}

LiveRequest* ResponseForwarder::findAttempt(const EndpointId& endpoint, GenerationId generation)
{
    LiveRequest* request = this->state.requests.findGeneration(generation);
    return request && request->endpoint == endpoint ? request : nullptr;
}

void ResponseForwarder::clearSuspect(const LiveRequest& request, Instant now)
{
    if (!this->state.quarantine.isSuspect(request.fingerprint, now))
        return;
    this->state.quarantine.clear(request.fingerprint);
    this->state.sendToAllAgents(QuarantineDelivery { { { request.fingerprint, 0, Milliseconds(0) } } });
}

}
