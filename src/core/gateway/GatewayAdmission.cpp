#include "core/gateway/GatewayAdmission.h"

#include "core/gateway/StreamForecast.h"

#include <algorithm>

namespace teaselfold {

namespace {

    /** Timeout of a request if neither its caller nor its route sets one. */
    constexpr Milliseconds defaultTimeout(60000);

    Failure notRunFailure(ErrorCode code, std::string message, Milliseconds retryAfter)
    {
        return { code, std::move(message), Executed::No, retryAfter };
    }

    /** Larger numbers of tokens are made up, and sums with them could overflow. */
    constexpr std::uint64_t maxTokens = 1'000'000'000'000;

    Milliseconds timeoutOf(const GatewayRequest& request, const GatewayRoute& route)
    {
        const Milliseconds timeout = request.callerTimeout.value_or(defaultTimeout);
        return route.timeout > Milliseconds(0) ? std::min(timeout, route.timeout) : timeout;
    }

}

bool GatewayAdmission::isReady(Instant now) const
{
    return !this->state.stop && this->state.routes
        && this->state.freshness.age(StoreSection::Endpoints, now).has_value()
        && this->state.freshness.isFresh(StoreSection::Configuration, this->state.limits.maxKeyStaleness, now);
}

Failure GatewayAdmission::denial(ErrorCode code, std::string message, Instant now) const
{
    if (this->state.freshness.isFresh(StoreSection::Configuration, this->state.limits.maxDenialStaleness, now))
        return notRunFailure(code, std::move(message), Milliseconds(0));
    return notRunFailure(ErrorCode::NotReady, "the configuration may be out of date", this->state.limits.retryAfter);
}

Outcome<const GatewayTeam*> GatewayAdmission::teamOf(
    const GatewayRequest& request, const GatewayRoute& route, Instant now) const
{
    const bool needsKey = this->state.routes->configuration()->teams.has_value() && !route.isPublic;
    if (!needsKey)
        return nullptr;
    if (!this->state.freshness.isFresh(StoreSection::Configuration, this->state.limits.maxKeyStaleness, now))
        return notRunFailure(ErrorCode::StoreUnavailable, "keys cannot be checked now", this->state.limits.retryAfter);
    if (const GatewayTeam* team = this->state.routes->findTeam(request.key))
        return team;
    return this->denial(ErrorCode::Unauthorized, "unknown key", now);
}

Outcome<ActiveRequest> GatewayAdmission::admit(const GatewayRequest& request, Instant now) const
{
    if (!this->state.routes)
        return notRunFailure(ErrorCode::NotReady, "no configuration is known yet", this->state.limits.retryAfter);
    const GatewayRoute* route = this->state.routes->findRoute(request.host, request.path);
    if (!route)
        return this->denial(ErrorCode::NotFound, "no route", now);
    const auto team = this->teamOf(request, *route, now);
    if (const auto* failure = std::get_if<Failure>(&team))
        return *failure;
    const Milliseconds quarantinedFor = this->state.quarantine.remainingQuarantine(request.fingerprint, now);
    if (quarantinedFor > Milliseconds(0))
        return notRunFailure(ErrorCode::Quarantined, "endpoints died while they ran this request", quarantinedFor);
    const ServiceId* service = RouteTable::chooseService(*route, this->state.randomness.next());
    const GatewayService* found = service ? this->state.routes->findService(*service) : nullptr;
    if (!found)
        return notRunFailure(ErrorCode::NoCapacity, "the route has no service", this->state.limits.retryAfter);

    ActiveRequest active;
    active.request = request;
    active.configuration = this->state.routes->configuration();
    active.route = route;
    active.service = found;
    const GatewayTeam* owner = *std::get_if<const GatewayTeam*>(&team);
    active.priority = owner && owner->priority ? *owner->priority : route->priority;
    if (owner)
        active.team = owner->name;
    active.arrivedAt = now;
    active.deadline = now + timeoutOf(request, *route);
    if (found->engine) {
        active.likelyOutput = this->state.outputLengths.forecast(outputRequestOf(active));
        const std::uint64_t output = expectedLength(active.likelyOutput);
        active.tokens = std::min(request.promptTokens, maxTokens) + output;
        active.events = output / found->engine->tokensPerEvent + 1;
        active.maxEvents
            = std::max(active.events, std::min(request.maxOutputTokens, maxTokens) / found->engine->tokensPerEvent + 1);
    }
    if (!mayStartInStop(this->state, active, now))
        return notRunFailure(ErrorCode::Stopping, "this instance is being stopped", this->state.limits.retryAfter);
    return active;
}

}
