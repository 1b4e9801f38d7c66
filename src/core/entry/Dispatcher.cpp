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

Executed worseRun(Executed left, Executed right) { return std::max(left, right); }

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
    request.avoided.insert(request.endpoint);
    this->leaveAttempt(request);
    const bool elsewhere = refusal.code != ErrorCode::Quarantined && refusal.code != ErrorCode::BadRequest;
    const bool resume = std::holds_alternative<StreamResumeRequest>(request.origin);
    if (elsewhere && !resume && this->mayRetry(request, now) && this->dispatch(request, now))
        return;
    this->fail(request, refusal, now);
}

void Dispatcher::attemptLost(LiveRequest& request, const Failure& failure, Instant now)
{
    request.run = worseRun(request.run, failure.run);
    const bool shown = request.shown;
    const bool restarts = !shown || restartsOnLoss(request);
    request.avoided = { request.endpoint };
    this->leaveAttempt(request);
    const bool attemptsLeft = request.attempts < this->state.limits.maxAttempts && request.deadline > now;
    if (!isRepeatable(request) || !restarts || !attemptsLeft) {
        this->fail(request, failure, now);
        return;
    }
    const Milliseconds refused = this->state.quarantine.refusedFor(request.fingerprint, now);
    if (refused.count() > 0) {
        this->fail(request, { ErrorCode::Quarantined, "endpoints died while it ran", Executed::Unknown, refused }, now);
        return;
    }
    request.waiting = true;
    request.retryOwed = true;
    request.restarted = request.restarted || shown;
    this->tryOne(request, now);
}

void Dispatcher::tryWaiting(Instant now)
{
    for (const RequestId id : this->state.requests.waiting())
        this->tryOne(*this->state.requests.find(id), now);
}

void Dispatcher::takesWorkAgain(const EndpointId& endpoint)
{
    for (const RequestId id : this->state.requests.waiting())
        this->state.requests.find(id)->avoided.erase(endpoint);
}

void Dispatcher::tryOne(LiveRequest& request, Instant now)
{
    if (request.retryOwed && !this->mayRetry(request, now))
        return;
    request.retryOwed = false;
    this->dispatch(request, now);
}

void Dispatcher::fail(LiveRequest& request, Failure failure, Instant now)
{
    failure.run = worseRun(request.run, failure.run);
    this->state.toCaller(request.request, CallerFailure { failure });
    const bool refused = failure.run == Executed::No;
    this->state.observe(
        request, refused ? Metric::Refusal : Metric::Failed, 1, std::string(errorCodeName(failure.code)));
    this->state.log("request_failed",
        { { "request", std::to_string(request.request.get()) }, { "team", request.team.get() },
            { "code", std::string(errorCodeName(failure.code)) }, { "run", std::string(executedName(failure.run)) } });
    this->end(request, refused ? Metric::Refusal : Metric::Failed, now);
}

void Dispatcher::end(LiveRequest& request, Metric metric, Instant now)
{
    if (metric == Metric::Completed) {
        const std::chrono::duration<double, std::milli> taken = now - request.begun;
        this->state.observe(request, Metric::CallDuration, taken.count());
        this->state.observe(request, Metric::Completed);
    }
    this->leaveAttempt(request);
    this->state.requests.remove(request.request);
}

void Dispatcher::cancelAttempt(const LiveRequest& request)
{
    const bool generates = !std::holds_alternative<ServiceCallRequest>(request.origin);
    if (generates && request.generation != GenerationId())
        this->state.toAgent(request.endpoint, CancelGeneration { request.generation });
}

Milliseconds Dispatcher::retryAfter(PriorityClass priority) const
{
    return this->state.limits.retryAfter * (1 << static_cast<int>(priority));
}

bool Dispatcher::mayRetry(LiveRequest& request, Instant now)
{
    if (request.attempts >= this->state.limits.maxAttempts || request.deadline <= now)
        return false;
    if (!this->state.retries.withdraw(now))
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
        this->state.toCaller(request.request, CallerRestart { { request.endpoint, request.generation } });
    return true;
}

void Dispatcher::submit(LiveRequest& request, const EndpointId& endpoint, Instant now)
{
    const GenerationId generation(this->state.randomness->next());
    this->state.requests.assign(request, generation, endpoint);
    request.attempts += 1;
    this->state.endpoints.submitted(endpoint);
    const Milliseconds budget = timeLeft(request, now);
    if (const auto* completion = std::get_if<CompletionRequest>(&request.origin))
        this->state.toAgent(endpoint, SubmitGeneration { generation, completion->work, budget });
    else if (const auto* call = std::get_if<ServiceCallRequest>(&request.origin))
        this->state.toAgent(endpoint, SubmitCall { generation, call->work, budget });
}

void Dispatcher::leaveAttempt(LiveRequest& request)
{
    const bool submitted = !std::holds_alternative<StreamResumeRequest>(request.origin);
    if (submitted && request.generation != GenerationId()) {
        if (request.confirmed)
            this->state.endpoints.ended(request.endpoint);
        else
            this->state.endpoints.confirmed(request.endpoint, false);
    }
    this->state.requests.unassign(request);
}

}
