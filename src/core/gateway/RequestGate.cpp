#include "core/gateway/RequestGate.h"

#include <algorithm>

namespace teaselfold {

namespace {

    /** Deadline of a request whose caller and route name none. */
    constexpr Milliseconds defaultPatience(60000);

    Failure notRun(ErrorCode code, std::string message, Milliseconds retryAfter)
    {
        return { code, std::move(message), Executed::No, retryAfter };
    }

    std::uint64_t expectedOutput(const GatewayRequest& request)
    {
        return request.expectedOutputTokens > 0 ? request.expectedOutputTokens : request.maxOutputTokens / 2;
    }

    Milliseconds patienceOf(const GatewayRequest& request, const GatewayRoute& route)
    {
        const Milliseconds callerTimeout = request.callerTimeout.value_or(defaultPatience);
        return route.timeout > Milliseconds(0) ? std::min(callerTimeout, route.timeout) : callerTimeout;
    }

}

bool RequestGate::isReady(Instant now) const
{
    return !this->state.stopRequestedAt && this->state.routes
        && this->state.freshness.age(StoreSection::Endpoints, now).has_value()
        && this->state.freshness.isFresh(StoreSection::Configuration, this->state.limits.maxKeyStaleness, now);
}

bool RequestGate::endsBeforeTheStop(const GatewayRequest& request, const GatewayRoute& route, Instant now) const
{
    const auto& stopAt = this->state.stopRequestedAt;
    if (!stopAt || now - *stopAt < this->state.limits.drainDelay)
        return true;
    return now + patienceOf(request, route) < *stopAt + this->state.limits.stopLimit;
}

Failure RequestGate::denial(ErrorCode code, std::string message, Instant now) const
{
    if (this->state.freshness.isFresh(StoreSection::Configuration, this->state.limits.maxDenialStaleness, now))
        return notRun(code, std::move(message), Milliseconds(0));
    return notRun(ErrorCode::NotReady, "the configuration may be out of date", this->state.limits.retryAfter);
}

Outcome<const GatewayTeam*> RequestGate::teamOf(
    const GatewayRequest& request, const GatewayRoute& route, Instant now) const
{
    const bool needsKey = this->state.routes->configuration()->teams.has_value() && !route.isPublic;
    if (!needsKey)
        return nullptr;
    if (!this->state.freshness.isFresh(StoreSection::Configuration, this->state.limits.maxKeyStaleness, now))
        return notRun(ErrorCode::StoreUnavailable, "keys cannot be checked now", this->state.limits.retryAfter);
    if (const GatewayTeam* team = this->state.routes->findTeam(request.key))
        return team;
    return this->denial(ErrorCode::Unauthorized, "unknown key", now);
}

Outcome<ActiveRequest> RequestGate::admit(const GatewayRequest& request, Instant now) const
{
    if (!this->state.routes)
        return notRun(ErrorCode::NotReady, "no configuration is known yet", this->state.limits.retryAfter);
    const GatewayRoute* route = this->state.routes->findRoute(request.host, request.path);
    if (!route)
        return this->denial(ErrorCode::NotFound, "no route", now);
    if (!this->endsBeforeTheStop(request, *route, now))
        return notRun(ErrorCode::Stopping, "this instance is being stopped", this->state.limits.retryAfter);
    const auto team = this->teamOf(request, *route, now);
    if (const auto* failure = std::get_if<Failure>(&team))
        return *failure;
    const Milliseconds refused = this->state.quarantine.refusedFor(request.fingerprint, now);
    if (refused > Milliseconds(0))
        return notRun(ErrorCode::Quarantined, "endpoints died while they ran this request", refused);
    const ServiceId* service = RouteTable::chooseService(*route, this->state.randomness.next());
    const GatewayService* found = service ? this->state.routes->findService(*service) : nullptr;
    if (!found)
        return notRun(ErrorCode::NoCapacity, "the route has no service", this->state.limits.retryAfter);

    ActiveRequest active;
    active.request = request;
    active.configuration = this->state.routes->configuration();
    active.route = route;
    active.service = found;
    const GatewayTeam* holder = *std::get_if<const GatewayTeam*>(&team);
    active.priority = holder && holder->priority ? *holder->priority : route->priority;
    if (holder)
        active.team = holder->name;
    active.arrivedAt = now;
    active.answerBy = now + patienceOf(request, *route);
    if (found->engine) {
        active.tokens = request.promptTokens + expectedOutput(request);
        active.events = expectedOutput(request) / found->engine->tokensPerEvent + 1;
    }
    return active;
}

}
