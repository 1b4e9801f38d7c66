#include "core/gateway/EndpointNotices.h"

#include "core/gateway/GatewayLog.h"

namespace teaselfold {

void EndpointNotices::received(
    const EndpointId& endpoint, bool isLeaving, Milliseconds restTime, Instant now, GatewayActions& actions)
{
    if (isLeaving) {
        if (this->state.endpoints.recordLeaving(endpoint, now))
            actions.emplace_back(
                LogEvent { "endpoint_leaves", { { "endpoint", endpoint.get() }, { "announced_by", "answer" } } });
        this->migrator.drainEndpoint(endpoint, now, actions);
    }
    if (restTime > Milliseconds(0) && this->state.endpoints.recordRest(endpoint, restTime, now))
        actions.emplace_back(LogEvent { "endpoint_rests",
            { { "endpoint", endpoint.get() }, { "time_ms", Internal::millisecondsText(restTime) } } });
}

}
