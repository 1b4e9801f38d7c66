#include "core/entry/RequestAdmission.h"

#include <algorithm>
#include <charconv>

namespace teaselfold {

namespace {

    constexpr int hexBase = 16;

    Failure makeRefusal(ErrorCode code, std::string message, Milliseconds retryAfter = Milliseconds(0))
    {
        return { code, std::move(message), Executed::No, retryAfter };
    }

    std::string unpaddedHex(std::uint64_t value)
    {
        std::array<char, hexBase> digits {};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, hexBase);
        return { digits.data(), end.ptr };
    }

    bool isNonRepeatable(const Service& service, const ServiceWork& work)
    {
        return std::ranges::any_of(service.nonRepeatable, [&](const NonRepeatable& rule) {
            return rule.method == work.method && work.path.starts_with(rule.pathPrefix);
        });
    }

}

void RequestAdmission::admitCompletion(const CompletionRequest& request, Instant now)
{
    LiveRequest live = this->makeRequest(request.request, request.work.team, request.budget, now);
    const auto model = this->state.fleet.models.find(request.work.model);
    if (model != this->state.fleet.models.end())
        live.service = model->second.service;
    live.priority = request.work.priority;
    live.fingerprint = request.work.fingerprint;
    live.origin = request;
    if (LiveRequest* stored = this->admit(std::move(live), now))
        this->dispatcher.begin(*stored, now);
}

void RequestAdmission::admitCall(const ServiceCallRequest& request, Instant now)
{
    LiveRequest live = this->makeRequest(request.request, request.work.team, request.budget, now);
    live.service = request.work.service;
    live.fingerprint = request.work.fingerprint;
    ServiceCallRequest call = request;
    this->makeAtMostOnce(call.work);
    live.origin = std::move(call);
    if (LiveRequest* stored = this->admit(std::move(live), now))
        this->dispatcher.begin(*stored, now);
}

void RequestAdmission::admitResume(const StreamResumeRequest& request, Instant now)
{
    const EndpointState* endpointState = std::as_const(this->state.endpoints).find(request.token.endpoint);
    const bool alreadyAttached = this->state.requests.findGeneration(request.token.generation) != nullptr;
    LiveRequest live = this->makeRequest(request.request, request.team, request.budget, now);
    if (endpointState)
        live.service = endpointState->endpoint.service;
    live.origin = request;
    live.run = Executed::Yes;
    LiveRequest* stored = this->admit(std::move(live), now);
    if (!stored)
        return;
    if (alreadyAttached) {
        this->dispatcher.fail(*stored, { ErrorCode::Conflict, "the stream is being read", Executed::Yes }, now);
        return;
    }
    this->state.requests.assign(*stored, request.token.generation, request.token.endpoint);
    stored->nextIndex = request.nextIndex;
    stored->consumed = request.nextIndex;
    stored->started = true;
    stored->tokensDelivered = true;
    const ResumeGeneration message { request.token.generation, request.team, request.nextIndex };
    if (endpointState->link == LinkState::Up)
        this->state.sendToAgent(request.token.endpoint, message);
}

LiveRequest* RequestAdmission::admit(LiveRequest request, Instant now)
{
    std::optional<Failure> refusal = this->refusalFor(request, now);
    if (!refusal)
        refusal = this->limitRefusalFor(request);
    if (!refusal) {
        this->state.retryBudget.deposit();
        return &this->state.requests.add(std::move(request));
    }
    refusal->run = maxExecuted(refusal->run, request.run);
    this->state.sendToCaller(request.id, CallerFailure { *refusal });
    this->state.observe(request, Metric::Refusal, 1, std::string(errorCodeName(refusal->code)));
    return nullptr;
}

std::optional<Failure> RequestAdmission::refusalFor(const LiveRequest& request, Instant now) const
{
    if (this->state.stopping)
        return makeRefusal(ErrorCode::Stopping, "this entry is stopping", this->state.limits.retryAfter);
    if (this->state.fleet.version == ReleaseVersion())
        return makeRefusal(ErrorCode::NotReady, "no configuration is known yet", this->state.limits.retryAfter);
    if (!this->state.fleet.teams.contains(request.team))
        return makeRefusal(ErrorCode::Forbidden, "the team is not known");
    const auto service = this->state.fleet.services.find(request.service);
    if (service == this->state.fleet.services.end())
        return makeRefusal(ErrorCode::NotFound, "no such model, service or stream");
    const bool isCall = std::holds_alternative<ServiceCallRequest>(request.origin);
    if (isCall != (service->second.kind == ServiceKind::Plain))
        return makeRefusal(ErrorCode::NotFound, "the service is of another kind");
    const Milliseconds quarantined = this->state.quarantine.remainingQuarantine(request.fingerprint, now);
    if (quarantined.count() > 0)
        return makeRefusal(ErrorCode::Quarantined, "endpoints died while it ran", quarantined);
    return std::nullopt;
}

std::optional<Failure> RequestAdmission::limitRefusalFor(const LiveRequest& request) const
{
    const Milliseconds wait = this->dispatcher.retryAfter(request.priority);
    if (this->state.requests.inProgress(request.team) >= this->state.fleet.teams.at(request.team).maxInProgress)
        return makeRefusal(ErrorCode::TeamLimit, "the team has too many requests in progress", wait);
    if (this->state.requests.inProgress(request.service) >= this->state.fleet.services.at(request.service).bulkhead)
        return makeRefusal(ErrorCode::QueueFull, "the service has too many requests in progress", wait);
    return std::nullopt;
}

LiveRequest RequestAdmission::makeRequest(RequestId request, const TeamId& team, Milliseconds budget, Instant now) const
{
    LiveRequest live;
    live.id = request;
    live.team = team;
    live.receivedAt = now;
    live.deadline = now + (budget.count() > 0 ? budget : this->state.limits.defaultBudget);
    return live;
}

void RequestAdmission::makeAtMostOnce(ServiceWork& work) const
{
    const auto service = this->state.fleet.services.find(work.service);
    const bool nonRepeatable = service != this->state.fleet.services.end() && isNonRepeatable(service->second, work);
    work.atMostOnce = work.atMostOnce || nonRepeatable || !work.key.get().empty();
    if (!work.atMostOnce || !work.key.get().empty())
        return;
    Randomness& randomness = *this->state.randomness;
    work.key = IdempotencyKey("entry-" + unpaddedHex(randomness.next()) + unpaddedHex(randomness.next()));
}

}
