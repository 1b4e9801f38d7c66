#include "core/gateway/ResumptionPlaces.h"

#include "core/gateway/StreamMigrator.h"

namespace teaselfold {

const ResumptionPlace* placeOfStoppedRun(GatewayState& state, const StoppedRun& run, Instant now)
{
    const auto mayTake = [&](const EndpointId& endpoint) { return !run.mayRunAt || run.mayRunAt == endpoint; };
    const bool isTargetReady = StreamMigrator::isTargetPrepared(run.stopCallAt, now)
        ? state.endpoints.acceptsStoppedRun(run.target.endpoint, now)
        : state.endpoints.acceptsResumption(run.target.endpoint, now)
            || state.endpoints.acceptsReturn(run.target.endpoint, now);
    const bool acceptsTarget = isTargetReady && mayTake(run.target.endpoint);
    const bool acceptsSource
        = run.source && mayTake(run.source->endpoint) && state.endpoints.acceptsReturn(run.source->endpoint, now);
    const bool wasTriedAtTarget = run.triedAt == run.target.endpoint;
    if (acceptsSource && (wasTriedAtTarget || !acceptsTarget))
        return &*run.source;
    return acceptsTarget ? &run.target : nullptr;
}

}
