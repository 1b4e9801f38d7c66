#include "core/gateway/EndpointNotices.h"

#include "core/gateway/GatewayLog.h"

namespace teaselfold {

void EndpointNotices::received(
    const EndpointId& endpoint, const EndpointNotice& notice, Instant now, GatewayActions& actions)
{
    if (notice.isLeaving) {
        if (this->state.endpoints.recordLeaving(endpoint, now))
            actions.emplace_back(
                LogEvent { "endpoint_leaves", { { "endpoint", endpoint.get() }, { "announced_by", "answer" } } });
        this->migrator.drainEndpoint(endpoint, now, actions);
    }
    if (notice.restTime > Milliseconds(0) && this->state.endpoints.recordRest(endpoint, notice.restTime, now))
        actions.emplace_back(LogEvent { "endpoint_rests",
            { { "endpoint", endpoint.get() }, { "time_ms", Internal::millisecondsText(notice.restTime) } } });
    EndpointRateLimits& limits = this->state.endpoints.rateLimits();
    if (notice.rateLimit && limits.recordAnswer(endpoint, notice.rateLimit->requestsPerSecond, now))
        actions.emplace_back(Internal::rateLimitLogEvent(endpoint, limits.rateOf(endpoint), "answer"));
}

}
