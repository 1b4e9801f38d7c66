#include "core/gateway/CopyPlacement.h"

#include <algorithm>

namespace teaselfold {

const GatewayEndpoint* chooseCopyTarget(
    GatewayState& state, const ActiveRequest& active, const CopyRequirements& requirements, Instant now)
{
    const PickContext context { requirements.zone, now, active.tokens, 0, 0, {},
        state.endpoints.slowdownShares(active.service->name), state.limits, state.peers, state.randomness };
    auto candidates = state.endpoints.candidates(*active.service, state.peers.gatewayCount(), now);
    std::erase_if(candidates, [&](const GatewayEndpoint* candidate) {
        const bool isOverUtilized = requirements.maxUtilization
            && expectedUtilization(*candidate, *active.service, context) > *requirements.maxUtilization;
        return isOverUtilized || requirements.excluded.contains(candidate->record.id);
    });
    const auto isInZone = [&](const GatewayEndpoint* candidate) { return candidate->record.zone == requirements.zone; };
    if (std::any_of(candidates.begin(), candidates.end(), isInZone))
        std::erase_if(candidates, [&](const GatewayEndpoint* candidate) { return !isInZone(candidate); });
    return pickerFor(*active.service).pick(candidates, *active.service, context);
}

}
