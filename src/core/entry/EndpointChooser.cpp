#include "core/entry/EndpointChooser.h"

#include "core/entry/Rendezvous.h"

#include <algorithm>

namespace teaselfold {

namespace {

    /** Once the overflow share is used up, other zones may use only 1/spareCapacityDivisor of the free capacity. */
    constexpr std::uint32_t spareCapacityDivisor = 2;

    std::uint64_t prefixHash(const RequestOrigin& origin, std::size_t prefixBytes)
    {
        if (const auto* completion = std::get_if<CompletionRequest>(&origin))
            return hashOf(std::string_view(completion->work.prompt).substr(0, prefixBytes));
        if (const auto* call = std::get_if<ServiceCallRequest>(&origin))
            return hashOf(call->work.path);
        return 0;
    }

    std::vector<const EndpointState*> filter(const std::vector<const EndpointState*>& candidates, auto condition)
    {
        std::vector<const EndpointState*> filtered;
        filtered.reserve(candidates.size());
        std::ranges::copy_if(candidates, std::back_inserter(filtered), condition);
        return filtered;
    }

    bool hasFreeCapacity(const EndpointState* endpointState) { return freeCapacity(*endpointState) > 0; }

    bool hasSpareCapacity(const EndpointState* endpointState)
    {
        return freeCapacity(*endpointState) / spareCapacityDivisor > 0;
    }

}

std::optional<EndpointId> EndpointChooser::choose(const LiveRequest& request, Instant now)
{
    const auto groups = this->candidatesByDistance(request, now);
    const Candidates& own = groups.front();
    const Candidates ownWithCapacity = filter(own, hasFreeCapacity);
    if (!ownWithCapacity.empty())
        return this->applyPolicy(ownWithCapacity, request, false, now);
    const bool withinShare
        = this->state.overflow.allows(request.service, this->policyOf(request.service).overflowPercent, now);
    for (std::size_t distance = 1; distance < groups.size(); ++distance) {
        const Candidates remote = filter(groups[distance], withinShare ? hasFreeCapacity : hasSpareCapacity);
        if (!remote.empty())
            return this->applyPolicy(remote, request, true, now);
    }
    if (!own.empty())
        return this->applyPolicy(own, request, false, now);
    for (std::size_t distance = 1; distance < groups.size() && withinShare; ++distance)
        if (!groups[distance].empty())
            return this->applyPolicy(groups[distance], request, true, now);
    return std::nullopt;
}

bool EndpointChooser::isEligible(const EndpointState& endpointState) const
{
    const bool known = endpointState.inFleet && endpointState.link == LinkState::Up && endpointState.report.has_value();
    if (!known || endpointState.report->leaving || endpointState.listedLeaving)
        return false;
    return !this->state.orders.isOutOfService(endpointState.endpoint.id)
        && !this->state.orders.isOutOfService(endpointState.endpoint.zone);
}

std::array<EndpointChooser::Candidates, EndpointChooser::distanceCount> EndpointChooser::candidatesByDistance(
    const LiveRequest& request, Instant now) const
{
    // Two suspects at one endpoint could not be told apart if the endpoint died again.
    const bool suspect = this->state.quarantine.isSuspect(request.fingerprint, now);
    const std::string* region = this->regionOf(this->state.zone);
    const auto& subset = this->state.endpoints.subsetFor(request.service);
    std::array<Candidates, distanceCount> groups;
    for (Candidates& group : groups)
        group.reserve(subset.size());
    for (const EndpointState* endpointState : subset) {
        if (this->isEligibleFor(*endpointState, request)
            && !(suspect && this->runsSuspect(endpointState->endpoint.id, now)))
            groups[this->distance(*endpointState, region)].push_back(endpointState);
    }
    return groups;
}

std::size_t EndpointChooser::distance(const EndpointState& endpointState, const std::string* region) const
{
    if (endpointState.endpoint.zone == this->state.zone)
        return 0;
    const std::string* other = this->regionOf(endpointState.endpoint.zone);
    return region && other && *region == *other ? 1 : 2;
}

const std::string* EndpointChooser::regionOf(const ZoneId& zone) const
{
    const auto found = this->state.fleet.zones.find(zone);
    return found == this->state.fleet.zones.end() ? nullptr : &found->second.region;
}

bool EndpointChooser::isEligibleFor(const EndpointState& endpointState, const LiveRequest& request) const
{
    if (!this->isEligible(endpointState) || request.excludedEndpoints.contains(endpointState.endpoint.id))
        return false;
    return !endpointState.report->cold || freeCapacity(endpointState) > 0;
}

bool EndpointChooser::runsSuspect(const EndpointId& endpoint, Instant now) const
{
    const std::vector<RequestId> running = this->state.requests.requestsAt(endpoint);
    return std::ranges::any_of(running, [&](RequestId id) {
        const LiveRequest* other = this->state.requests.find(id);
        return other && this->state.quarantine.isSuspect(other->fingerprint, now);
    });
}

EndpointId EndpointChooser::applyPolicy(
    const Candidates& candidates, const LiveRequest& request, bool overflow, Instant now)
{
    const RoutingQuery query { prefixHash(request.origin, this->state.limits.prefixBytes),
        this->state.nextSequence[request.service]++ };
    const RoutingPolicy& policy = routingPolicy(this->policyOf(request.service).routing);
    this->state.overflow.recordDispatch(request.service, overflow, now);
    return policy.choose(candidates, query).endpoint.id;
}

const ServicePolicy& EndpointChooser::policyOf(const ServiceId& service) const
{
    static const ServicePolicy defaults;
    const auto found = this->state.fleet.services.find(service);
    return found == this->state.fleet.services.end() ? defaults : found->second.policy;
}

}
