#pragma once

#include "core/gateway/EndpointPicker.h"
#include "core/gateway/GatewayState.h"

namespace teaselfold {

/** Constraints on the engine that receives a copy of a run's KV cache. */
struct CopyRequirements {
    /** Zone of the run, which is preferred: transfers between zones take twice as long. */
    ZoneId zone;
    /** Engines that must not be chosen, including the run's own. */
    std::set<EndpointId> excluded;
    /** Upper bound of the engine's expected KV cache use with the copy, as a share of its capacity; empty for none. */
    std::optional<double> maxUtilization;
};

/** @return the engine to receive a copy of a run's KV cache, or null if none is suitable. */
const GatewayEndpoint* chooseCopyTarget(
    GatewayState& state, const ActiveRequest& active, const CopyRequirements& requirements, Instant now);

}
