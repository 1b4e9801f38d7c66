#pragma once

#include "core/gateway/GatewayState.h"

namespace teaselfold {

/** @return the engine at which a run resumes next that was stopped or whose engine ended; null if none accepts it. */
const ResumptionPlace* placeOfStoppedRun(GatewayState& state, const StoppedRun& run, Instant now);

}
