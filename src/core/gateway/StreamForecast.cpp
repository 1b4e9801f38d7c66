#include "core/gateway/StreamForecast.h"

#include <algorithm>

namespace teaselfold {

std::uint64_t expectedRemainingTokens(const ActiveRequest& active)
{
    const std::uint64_t expected = active.tokens - std::min(active.tokens, active.request.promptTokens);
    const std::uint64_t produced = active.lastEventId * active.service->engine->tokensPerEvent;
    // The remainder of a run beyond its expected length is unknown; assume half of what it produced so far.
    return expected > produced ? expected - produced : produced / 2;
}

Duration expectedRemainingTime(const GatewayState& state, const ActiveRequest& active)
{
    const std::uint64_t events = expectedRemainingTokens(active) / active.service->engine->tokensPerEvent + 1;
    const Duration average = state.endpoints.averageEventInterval(active.service->name);
    const bool hasOwnPace = active.firstEventAt && active.lastEventAt > active.firstEventAt && active.lastEventId > 1;
    const Duration pace = hasOwnPace
        ? (*active.lastEventAt - *active.firstEventAt) / static_cast<Duration::rep>(active.lastEventId - 1)
        : average;
    return pace * static_cast<Duration::rep>(events);
}

Duration expectedStreamTime(const GatewayState& state, const ActiveRequest& active)
{
    const ServiceId& service = active.service->name;
    return state.endpoints.averageFirstEventTime(service)
        + state.endpoints.averageEventInterval(service) * static_cast<Duration::rep>(active.events);
}

}
