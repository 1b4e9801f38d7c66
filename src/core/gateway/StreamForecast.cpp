#include "core/gateway/StreamForecast.h"

#include <algorithm>

namespace teaselfold {

namespace {

    /** Bounds forecasts for lengths that a caller made up. */
    constexpr Seconds maxForecast = std::chrono::hours(24);

    Duration timeOf(std::uint64_t events, Duration pace)
    {
        const auto time = std::chrono::duration<double>(pace) * static_cast<double>(events);
        return time < maxForecast ? std::chrono::duration_cast<Duration>(time) : Duration(maxForecast);
    }

}

std::uint64_t expectedRemainingTokens(const ActiveRequest& active)
{
    return expectedRemainder(active.likelyOutput, active.lastEventId * active.service->engine->tokensPerEvent);
}

std::uint64_t heldTokens(const ActiveRequest& active)
{
    return active.request.promptTokens + active.lastEventId * active.service->engine->tokensPerEvent;
}

Duration expectedRemainingTime(const GatewayState& state, const ActiveRequest& active)
{
    const std::uint64_t events = expectedRemainingTokens(active) / active.service->engine->tokensPerEvent + 1;
    const Duration average = state.endpoints.averageEventInterval(active.service->name);
    const bool hasOwnPace = active.firstEventAt && active.lastEventAt > active.firstEventAt && active.lastEventId > 1;
    const Duration pace = hasOwnPace
        ? (*active.lastEventAt - *active.firstEventAt) / static_cast<Duration::rep>(active.lastEventId - 1)
        : average;
    return timeOf(events, pace);
}

Duration longestStreamTime(const GatewayState& state, const ActiveRequest& active)
{
    const ServiceId& service = active.service->name;
    return state.endpoints.longestFirstEventTime(service)
        + timeOf(active.maxEvents, state.endpoints.longestEventInterval(service));
}

bool canEndInTime(const GatewayState& state, const ActiveRequest& active, Instant now)
{
    /** Measured intervals are averages; an engine with few runs is faster. */
    constexpr int fastEngineDivisor = 2;
    Duration needed = state.limits.minDeadline;
    // A single length is an assumption without evidence.
    if (isStream(active) && active.likelyOutput.size() > 1) {
        const std::uint64_t events = active.likelyOutput.front() / active.service->engine->tokensPerEvent;
        needed += timeOf(events, state.endpoints.shortestEventInterval(active.service->name) / fastEngineDivisor);
    }
    return active.deadline - now >= needed;
}

bool endsBeforeStop(const GatewayState& state, const ActiveRequest& active, Instant now)
{
    return !state.stop || state.endsBeforeStop(now + expectedRemainingTime(state, active));
}

bool hasTimeForEventsBeforeStop(const GatewayState& state, const EndpointId& endpoint, Instant now)
{
    return state.endsBeforeStop(now + state.endpoints.resumptionTime(endpoint));
}

bool mayStartInStop(const GatewayState& state, const ActiveRequest& active, Instant now)
{
    const auto& stop = state.stop;
    if (!stop)
        return true;
    if (stop->isComplete)
        return false;
    if (now - stop->requestedAt >= state.limits.drainDelay)
        return state.endsBeforeStop(active.deadline);
    // Without another gateway in the zone, the load balancer would send the caller's next try here again.
    return !isStream(active) || !active.service->engine || !state.peers.hasServingPeerIn(state.zone)
        || state.endsBeforeStop(now + longestStreamTime(state, active));
}

}
