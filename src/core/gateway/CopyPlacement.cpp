#include "core/gateway/CopyPlacement.h"

#include "core/gateway/StreamForecast.h"

#include <algorithm>

namespace teaselfold {

namespace {

    /** Expected KV cache use beyond which an engine of another zone gets no copy: it would preempt runs of its own. */
    constexpr double maxUtilizationElsewhere = 1;

}

const GatewayEndpoint* chooseCopyTarget(
    GatewayState& state, const ActiveRequest& active, const CopyRequirements& requirements, Instant now)
{
    const PickContext context { requirements.zone, now, active.tokens, 0, 0, {},
        state.endpoints.slowdownShares(active.service->name), state.limits, state.peers, state.randomness };
    auto candidates = state.endpoints.candidates(*active.service, state.peers.gatewayCount(), now);
    std::erase_if(candidates, [&](const GatewayEndpoint* candidate) {
        const bool isOverUtilized = requirements.maxUtilization
            && expectedUtilization(*candidate, *active.service, context) > *requirements.maxUtilization;
        return isOverUtilized || state.copyRefusals.refuses(candidate->record.id, heldTokens(active), now)
            || requirements.excluded.contains(candidate->record.id);
    });
    state.rolloutTraffic.filterCopyTargets(active.service->name, candidates);
    const auto isInZone = [&](const GatewayEndpoint* candidate) { return candidate->record.zone == requirements.zone; };
    if (std::any_of(candidates.begin(), candidates.end(), isInZone))
        std::erase_if(candidates, [&](const GatewayEndpoint* candidate) { return !isInZone(candidate); });
    else
        std::erase_if(candidates, [&](const GatewayEndpoint* candidate) {
            return expectedUtilization(*candidate, *active.service, context) > maxUtilizationElsewhere;
        });
    return pickerFor(*active.service).pick(candidates, *active.service, context);
}

}
