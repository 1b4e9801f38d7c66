#pragma once

#include "core/gateway/EndpointPicker.h"
#include "core/gateway/GatewayState.h"

namespace teaselfold {

/**
 * @return the engine that is to hold a copy of a run's memory, or null when none is suitable. Copies stay within the
 * availability zone, since moves between zones take twice as long.
 * @param excluded engines that may not be chosen, the run's own among them.
 */
const GatewayEndpoint* placeCopy(GatewayState& state, const ActiveRequest& active, const ZoneId& zone,
    const std::set<EndpointId>& excluded, Instant now);

}
