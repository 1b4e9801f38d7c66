#include "core/entry/GenerationFlow.h"

#include <algorithm>
#include <iterator>

namespace teaselfold {

namespace {

    bool isWhole(const LiveRequest& request)
    {
        const auto* completion = std::get_if<CompletionRequest>(&request.origin);
        return completion && !completion->stream;
    }

    double inMilliseconds(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

    Failure lost(std::string message, Executed run) { return { ErrorCode::EndpointLost, std::move(message), run }; }

}

void GenerationFlow::accepted(const EndpointId& endpoint, const GenerationAccepted& message)
{
    LiveRequest* request = this->attempt(endpoint, message.generation);
    if (!request || request->confirmed)
        return;
    request->confirmed = true;
    this->state.endpoints.confirmed(endpoint, true);
}

void GenerationFlow::started(const EndpointId& endpoint, const GenerationStarted& message)
{
    this->accepted(endpoint, GenerationAccepted { message.generation });
    if (LiveRequest* request = this->attempt(endpoint, message.generation))
        request->started = true;
}

void GenerationFlow::refused(const EndpointId& endpoint, const GenerationRefused& message, Instant now)
{
    LiveRequest* request = this->attempt(endpoint, message.generation);
    if (!request)
        return;
    const Milliseconds wait
        = message.retryAfter.count() > 0 ? message.retryAfter : this->dispatcher.retryAfter(request->priority);
    this->dispatcher.attemptRefused(
        *request, { message.code, "the endpoint refused the request", Executed::No, wait }, now);
}

void GenerationFlow::tokens(const EndpointId& endpoint, const GenerationTokens& message, Instant now)
{
    LiveRequest* request = this->attempt(endpoint, message.generation);
    if (!request)
        return;
    this->started(endpoint, GenerationStarted { message.generation });
    if (message.firstIndex > request->nextIndex) {
        if (!request->held)
            this->resume(*request);
        return;
    }
    const std::uint32_t repeated = request->nextIndex - message.firstIndex;
    if (repeated < message.texts.size())
        this->take(*request, message, repeated, now);
}

void GenerationFlow::take(LiveRequest& request, const GenerationTokens& message, std::uint32_t skipped, Instant now)
{
    const bool whole = isWhole(request);
    if (!whole && request.nextIndex - request.consumed >= this->state.limits.callerWindow) {
        request.held = true;
        return;
    }
    const std::uint32_t firstIndex = request.nextIndex;
    std::vector<std::string> fresh(std::next(message.texts.begin(), skipped), message.texts.end());
    request.nextIndex += static_cast<std::uint32_t>(fresh.size());
    this->observeTokens(request, fresh.size(), now);
    if (!whole) {
        this->show(request, std::move(fresh), firstIndex);
        return;
    }
    for (const std::string& text : fresh)
        request.text += text;
    this->state.toAgent(request.endpoint, AcknowledgeTokens { request.generation, request.nextIndex });
}

void GenerationFlow::show(LiveRequest& request, std::vector<std::string> texts, std::uint32_t firstIndex)
{
    request.shown = true;
    const ResumeToken token { request.endpoint, request.generation };
    this->state.toCaller(request.request, CallerTokens { token, firstIndex, std::move(texts) });
}

void GenerationFlow::observeTokens(LiveRequest& request, std::size_t count, Instant now)
{
    if (!request.lastTokenAt) {
        this->state.observe(request, Metric::FirstToken, inMilliseconds(now - request.begun));
    } else {
        const double each = inMilliseconds(now - *request.lastTokenAt) / static_cast<double>(count);
        this->state.observe(request, Metric::BetweenTokens, each);
    }
    request.lastTokenAt = now;
}

void GenerationFlow::finished(const EndpointId& endpoint, const GenerationFinished& message, Instant now)
{
    LiveRequest* request = this->attempt(endpoint, message.generation);
    if (!request)
        return;
    if (message.tokenCount > request->nextIndex) {
        if (!request->held)
            this->resume(*request);
        return;
    }
    this->complete(*request, message, now);
}

void GenerationFlow::complete(LiveRequest& request, const GenerationFinished& message, Instant now)
{
    this->clearSuspect(request, now);
    this->state.observe(request, Metric::OutputLength, message.tokenCount);
    if (isWhole(request)) {
        this->state.toCaller(request.request,
            CallerCompletion { request.generation, std::move(request.text), message.tokenCount, message.reason });
    } else {
        this->state.toCaller(request.request, CallerFinished { message.tokenCount, message.reason });
        this->keepTail(request, message, now);
    }
    this->dispatcher.end(request, Metric::Completed, now);
}

void GenerationFlow::keepTail(const LiveRequest& request, const GenerationFinished& message, Instant now)
{
    if (request.consumed >= message.tokenCount)
        return;
    const Instant until = now + this->state.limits.tailTimeout;
    this->state.tails.add(request.request, { request.endpoint, message.generation, message.tokenCount, until });
}

void GenerationFlow::failed(const EndpointId& endpoint, const GenerationFailed& message, Instant now)
{
    LiveRequest* request = this->attempt(endpoint, message.generation);
    if (!request)
        return;
    const ErrorCode code = message.failure.code;
    const bool died = code == ErrorCode::EngineFailed || code == ErrorCode::EndpointLost;
    if (died && message.failure.run != Executed::No && request->fingerprint != Fingerprint()) {
        this->state.quarantine.recordDeath(request->fingerprint, endpoint, now);
        this->state.toAllAgents(this->state.quarantine.delivery(now));
    }
    if (message.failure.run == Executed::No && !request->shown)
        this->dispatcher.attemptRefused(*request, message.failure, now);
    else if (died)
        this->dispatcher.attemptLost(*request, message.failure, now);
    else
        this->dispatcher.fail(*request, message.failure, now);
}

void GenerationFlow::unknown(const EndpointId& endpoint, const GenerationUnknown& message, Instant now)
{
    LiveRequest* request = this->attempt(endpoint, message.generation);
    if (!request)
        return;
    const Executed run = request->started ? Executed::Yes : Executed::Unknown;
    this->dispatcher.attemptLost(*request, lost("the endpoint no longer holds the generation", run), now);
}

void GenerationFlow::answered(const EndpointId& endpoint, const CallAnswered& message, Instant now)
{
    LiveRequest* request = this->attempt(endpoint, message.call);
    if (!request)
        return;
    this->clearSuspect(*request, now);
    this->state.toCaller(
        request->request, CallerServiceResponse { message.status, message.headers, message.body, message.replayed });
    this->dispatcher.end(*request, Metric::Completed, now);
}

void GenerationFlow::callFailed(const EndpointId& endpoint, const CallFailed& message, Instant now)
{
    LiveRequest* request = this->attempt(endpoint, message.call);
    if (!request)
        return;
    const bool lostThere = message.failure.code == ErrorCode::EndpointLost;
    if (message.failure.run == Executed::No)
        this->dispatcher.attemptRefused(*request, message.failure, now);
    else if (lostThere)
        this->dispatcher.attemptLost(*request, message.failure, now);
    else
        this->dispatcher.fail(*request, message.failure, now);
}

void GenerationFlow::consumed(const CallerConsumed& message)
{
    if (const auto tail = this->state.tails.consumed(message.request, message.nextIndex))
        this->state.toAgent(tail->endpoint, AcknowledgeTokens { tail->generation, message.nextIndex });
    LiveRequest* request = this->state.requests.find(message.request);
    if (!request || message.nextIndex <= request->consumed || message.nextIndex > request->nextIndex)
        return;
    request->consumed = message.nextIndex;
    this->state.toAgent(request->endpoint, AcknowledgeTokens { request->generation, request->consumed });
    const bool roomAgain = request->nextIndex - request->consumed <= this->state.limits.callerWindow / 2;
    if (!request->held || !roomAgain)
        return;
    request->held = false;
    this->resume(*request);
}

void GenerationFlow::callerGone(const CallerDisconnected& message, Instant now)
{
    this->state.tails.forget(message.request);
    LiveRequest* request = this->state.requests.find(message.request);
    if (!request)
        return;
    this->dispatcher.cancelAttempt(*request);
    this->state.observe(*request, Metric::Cancelled);
    this->dispatcher.end(*request, Metric::Cancelled, now);
}

void GenerationFlow::resume(const LiveRequest& request)
{
    this->state.observe(request, Metric::LinkResume);
    this->state.toAgent(request.endpoint, ResumeGeneration { request.generation, request.team, request.nextIndex });
}

LiveRequest* GenerationFlow::attempt(const EndpointId& endpoint, GenerationId generation)
{
    LiveRequest* request = this->state.requests.findGeneration(generation);
    return request && request->endpoint == endpoint ? request : nullptr;
}

void GenerationFlow::clearSuspect(const LiveRequest& request, Instant now)
{
    if (!this->state.quarantine.isSuspect(request.fingerprint, now))
        return;
    this->state.quarantine.clear(request.fingerprint);
    this->state.toAllAgents(QuarantineDelivery { { { request.fingerprint, 0, Milliseconds(0) } } });
}

}
