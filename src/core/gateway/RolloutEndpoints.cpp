#include "core/gateway/RolloutEndpoints.h"

#include <algorithm>

namespace teaselfold {

namespace {

    /** Part of the previous versions' slots that the new version must have to take all requests. */
    constexpr double minSlotPart = 0.5;

}

std::vector<const GatewayEndpoint*> RolloutEndpoints::targets(const Rollout& rollout) const
{
    auto found = this->endpoints.endpointsOf(rollout.order.service);
    std::erase_if(found, [&](const GatewayEndpoint* endpoint) {
        return !isTarget(rollout, *endpoint) || !this->endpoints.acceptsRequests(endpoint->record.id);
    });
    return found;
}

std::vector<EndpointId> RolloutEndpoints::previous(const Rollout& rollout) const
{
    std::vector<EndpointId> found;
    for (const GatewayEndpoint* endpoint : this->endpoints.endpointsOf(rollout.order.service)) {
        if (!isTarget(rollout, *endpoint))
            found.push_back(endpoint->record.id);
    }
    return found;
}

std::uint32_t RolloutEndpoints::runsAtPrevious(const Rollout& rollout) const
{
    std::uint32_t runs = 0;
    for (const GatewayEndpoint* endpoint : this->endpoints.endpointsOf(rollout.order.service))
        runs += isTarget(rollout, *endpoint) ? 0 : endpoint->inFlight;
    return runs;
}

std::vector<SoftwareVersion> RolloutEndpoints::otherVersions(const RolloutOrder& order) const
{
    std::set<SoftwareVersion> versions;
    for (const GatewayEndpoint* endpoint : this->endpoints.endpointsOf(order.service))
        versions.insert(endpoint->record.version);
    versions.erase(order.target);
    return { versions.begin(), versions.end() };
}

bool RolloutEndpoints::haveOnlyTarget(const RolloutOrder& order) const
{
    return this->otherVersions(order).empty() && !this->endpoints.endpointsOf(order.service).empty();
}

bool RolloutEndpoints::canTakeAll(const Rollout& rollout, Instant now) const
{
    double targetSlots = 0;
    double previousSlots = 0;
    for (const GatewayEndpoint* endpoint : this->endpoints.endpointsOf(rollout.order.service)) {
        if (!this->endpoints.acceptsRequests(endpoint->record.id))
            continue;
        if (!isTarget(rollout, *endpoint))
            previousSlots += endpoint->record.slots;
        else if (endpoint->coldUntil <= now)
            targetSlots += endpoint->record.slots;
    }
    return targetSlots > 0 && targetSlots >= previousSlots * minSlotPart;
}

}
