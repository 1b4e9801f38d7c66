#include "core/gateway/CopyPlacement.h"

#include <algorithm>

namespace teaselfold {

const GatewayEndpoint* placeCopy(
    GatewayState& state, const ActiveRequest& active, const CopyRequirements& requirements, Instant now)
{
    const PickContext context { requirements.zone, now, active.tokens, 0, 0, state.limits, state.peers,
        state.randomness };
    auto candidates = state.endpoints.candidates(*active.service, state.peers.instances(), now);
    std::erase_if(candidates, [&](const GatewayEndpoint* candidate) {
        const bool isTooFull
            = requirements.mostUsed && usedWith(*candidate, *active.service, context) > *requirements.mostUsed;
        return isTooFull || requirements.excluded.contains(candidate->record.id);
    });
    const auto isNear = [&](const GatewayEndpoint* candidate) { return candidate->record.zone == requirements.zone; };
    if (std::any_of(candidates.begin(), candidates.end(), isNear))
        std::erase_if(candidates, [&](const GatewayEndpoint* candidate) { return !isNear(candidate); });
    return pickerFor(*active.service).pick(candidates, *active.service, context);
}

}
