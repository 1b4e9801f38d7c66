#include "core/gateway/CopyPlacement.h"

namespace teaselfold {

const GatewayEndpoint* placeCopy(GatewayState& state, const ActiveRequest& active, const ZoneId& zone,
    const std::set<EndpointId>& excluded, Instant now)
{
    auto candidates = state.endpoints.candidates(*active.service, state.peers.instances(), now);
    std::erase_if(candidates, [&](const GatewayEndpoint* candidate) {
        return excluded.contains(candidate->record.id) || candidate->record.zone != zone;
    });
    const PickContext context { zone, now, active.tokens, 0, 0, state.limits, state.peers, state.randomness };
    return pickerFor(*active.service).pick(candidates, *active.service, context);
}

}
