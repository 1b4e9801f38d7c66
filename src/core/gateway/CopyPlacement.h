#pragma once

#include "core/gateway/EndpointPicker.h"
#include "core/gateway/GatewayState.h"

namespace teaselfold {

/** What an engine must offer to hold a copy of a run's memory. */
struct CopyRequirements {
    /** The run's zone, which is preferred: moves between zones take twice as long. */
    ZoneId zone;
    /** Engines that may not be chosen, the run's own among them. */
    std::set<EndpointId> excluded;
    /** Most that the engine may be expected to hold with the copy, as a share of its memory; nothing for no bound. */
    std::optional<double> mostUsed;
};

/** @return the engine that is to hold a copy of a run's memory, or null when none is suitable. */
const GatewayEndpoint* placeCopy(
    GatewayState& state, const ActiveRequest& active, const CopyRequirements& requirements, Instant now);

}
