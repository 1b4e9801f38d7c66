#pragma once

#include "core/gateway/EndpointPicker.h"
#include "core/gateway/GatewayState.h"

namespace teaselfold {

/** Constraints on the engine that receives a copy of the KV cache of a run, a request that an engine executes. */
struct CopyRequirements {
    /** Zone of the run, which is preferred: transfers between zones take twice as long. */
    ZoneId zone;
    /** Engines that must not be chosen, including the run's own. */
    std::set<EndpointId> excluded;
    /** Maximum expected KV cache use of the engine with the copy, as a fraction of its capacity; unset for no limit. */
    std::optional<double> maxUtilization;
};

/** @return the engine that is to receive a copy of a run's KV cache, or null if none is suitable. */
const GatewayEndpoint* chooseCopyTarget(
    GatewayState& state, const ActiveRequest& active, const CopyRequirements& requirements, Instant now);

}
