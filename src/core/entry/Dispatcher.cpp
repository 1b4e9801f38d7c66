#include "core/entry/Dispatcher.h"

#include <algorithm>
#include <string>
#include <utility>

namespace teaselfold {

namespace {

    Milliseconds timeLeft(const LiveRequest& request, Instant now)
    {
        return std::max(Milliseconds(0), std::chrono::floor<Milliseconds>(request.deadline - now));
    }

    bool isAtMostOnce(const LiveRequest& request)
    {
        const auto* call = std::get_if<ServiceCallRequest>(&request.origin);
        return call && call->work.atMostOnce;
    }

    bool restartsOnLoss(const LiveRequest& request)
    {
        const auto* completion = std::get_if<CompletionRequest>(&request.origin);
        return completion && completion->onEngineLoss == OnEngineLoss::Restart;
    }

    bool isRepeatable(const LiveRequest& request)
    {
        return !std::holds_alternative<StreamResumeRequest>(request.origin) && !isAtMostOnce(request);
    }

}

Executed maxExecuted(Executed left, Executed right) { return std::max(left, right); }

void Dispatcher::begin(LiveRequest& request, Instant now)
{
    if (this->dispatch(request, now))
        return;
    this->fail(request,
        { ErrorCode::NoCapacity, "no endpoint can take the request now", Executed::No,
            this->retryAfter(request.priority) },
        now);
}

void Dispatcher::attemptRefused(LiveRequest& request, const Failure& refusal, Instant now)
{
    request.excludedEndpoints.insert(request.endpoint);
    this->releaseAttempt(request);
    const bool retryable = refusal.code != ErrorCode::Quarantined && refusal.code != ErrorCode::BadRequest;
    const bool resume = std::holds_alternative<StreamResumeRequest>(request.origin);
    if (retryable && !resume && this->withdrawRetry(request, now) && this->dispatch(request, now))
        return;
    this->fail(request, refusal, now);
}

void Dispatcher::attemptLost(LiveRequest& request, const Failure& failure, Instant now)
{
    request.run = maxExecuted(request.run, failure.run);
    const bool tokensDelivered = request.tokensDelivered;
    const bool restarts = !tokensDelivered || restartsOnLoss(request);
    request.excludedEndpoints = { request.endpoint };
    this->releaseAttempt(request);
    const bool attemptsLeft = request.attempts < this->state.limits.maxAttempts && request.deadline > now;
    if (!isRepeatable(request) || !restarts || !attemptsLeft) {
        this->fail(request, failure, now);
        return;
    }
    const Milliseconds quarantined = this->state.quarantine.remainingQuarantine(request.fingerprint, now);
    if (quarantined.count() > 0) {
        this->fail(
            request, { ErrorCode::Quarantined, "endpoints died while it ran", Executed::Unknown, quarantined }, now);
        return;
    }
    request.waiting = true;
    request.needsRetryBudget = true;
    request.restarted = request.restarted || tokensDelivered;
    this->tryDispatch(request, now);
}

void Dispatcher::dispatchWaiting(Instant now)
{
    for (const RequestId id : this->state.requests.waiting())
        this->tryDispatch(*this->state.requests.find(id), now);
}

void Dispatcher::clearExclusion(const EndpointId& endpoint)
{
    for (const RequestId id : this->state.requests.waiting())
        this->state.requests.find(id)->excludedEndpoints.erase(endpoint);
}

void Dispatcher::tryDispatch(LiveRequest& request, Instant now)
{
    if (request.needsRetryBudget && !this->withdrawRetry(request, now))
        return;
    request.needsRetryBudget = false;
    this->dispatch(request, now);
}

void Dispatcher::fail(LiveRequest& request, Failure failure, Instant now)
{
    failure.run = maxExecuted(request.run, failure.run);
    this->state.sendToCaller(request.id, CallerFailure { failure });
    const bool refused = failure.run == Executed::No;
    this->state.observe(
        request, refused ? Metric::Refusal : Metric::Failed, 1, std::string(errorCodeName(failure.code)));
    this->state.log("request_failed",
        { { "request", std::to_string(request.id.get()) }, { "team", request.team.get() },
            { "code", std::string(errorCodeName(failure.code)) }, { "run", std::string(executedName(failure.run)) } });
    this->end(request, refused ? Metric::Refusal : Metric::Failed, now);
}

void Dispatcher::end(LiveRequest& request, Metric metric, Instant now)
{
    if (metric == Metric::Completed) {
        const std::chrono::duration<double, std::milli> duration = now - request.receivedAt;
        this->state.observe(request, Metric::CallDuration, duration.count());
        this->state.observe(request, Metric::Completed);
    }
    this->releaseAttempt(request);
    this->state.requests.remove(request.id);
}

void Dispatcher::cancelAttempt(const LiveRequest& request)
{
    const bool generates = !std::holds_alternative<ServiceCallRequest>(request.origin);
    if (generates && request.generation != GenerationId())
        this->state.sendToAgent(request.endpoint, CancelGeneration { request.generation });
}

Milliseconds Dispatcher::retryAfter(PriorityClass priority) const
{
    return this->state.limits.retryAfter * (1 << static_cast<int>(priority));
}

bool Dispatcher::withdrawRetry(LiveRequest& request, Instant now)
{
    if (request.attempts >= this->state.limits.maxAttempts || request.deadline <= now)
        return false;
    if (!this->state.retryBudget.withdraw(now))
        return false;
    this->state.observe(request, Metric::Retry);
    return true;
}

bool Dispatcher::dispatch(LiveRequest& request, Instant now)
{
    const auto endpoint = this->chooser.choose(request, now);
    if (!endpoint)
        return false;
    this->submit(request, *endpoint, now);
    if (request.restarted)
        this->state.sendToCaller(request.id, CallerRestart { { request.endpoint, request.generation } });
    return true;
}

void Dispatcher::submit(LiveRequest& request, const EndpointId& endpoint, Instant now)
{
    const GenerationId generation(this->state.randomness->next());
    this->state.requests.assign(request, generation, endpoint);
    request.attempts += 1;
    this->state.endpoints.recordSubmission(endpoint);
    const Milliseconds budget = timeLeft(request, now);
    if (const auto* completion = std::get_if<CompletionRequest>(&request.origin))
        this->state.sendToAgent(endpoint, SubmitGeneration { generation, completion->work, budget });
    else if (const auto* call = std::get_if<ServiceCallRequest>(&request.origin))
        this->state.sendToAgent(endpoint, SubmitCall { generation, call->work, budget });
}

void Dispatcher::releaseAttempt(LiveRequest& request)
{
    const bool submitted = !std::holds_alternative<StreamResumeRequest>(request.origin);
    if (submitted && request.generation != GenerationId()) {
        if (request.accepted)
            this->state.endpoints.recordAttemptEnd(request.endpoint);
        else
            this->state.endpoints.recordSubmissionAnswer(request.endpoint, false);
    }
    this->state.requests.unassign(request);
}

}
