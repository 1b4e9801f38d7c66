#include "core/entry/EndpointChooser.h"

#include "core/entry/Rendezvous.h"

#include <algorithm>

namespace teaselfold {

namespace {

    constexpr std::size_t distanceCount = 3;
    /** Share of the reported room that other zones may use beyond the overflow share. */
    constexpr std::uint32_t spareDivisor = 2;

    std::uint64_t prefixHash(const RequestOrigin& origin, std::size_t prefixBytes)
    {
        if (const auto* completion = std::get_if<CompletionRequest>(&origin))
            return hashOf(std::string_view(completion->work.prompt).substr(0, prefixBytes));
        if (const auto* call = std::get_if<ServiceCallRequest>(&origin))
            return hashOf(call->work.path);
        return 0;
    }

    std::vector<const EndpointState*> keep(const std::vector<const EndpointState*>& candidates, auto condition)
    {
        std::vector<const EndpointState*> kept;
        std::ranges::copy_if(candidates, std::back_inserter(kept), condition);
        return kept;
    }

    bool hasRoom(const EndpointState* view) { return roomLeft(*view) > 0; }

    bool hasSpareRoom(const EndpointState* view) { return roomLeft(*view) / spareDivisor > 0; }

}

std::optional<EndpointId> EndpointChooser::choose(const LiveRequest& request, Instant now)
{
    const std::vector<Candidates> groups = this->byDistance(request, now);
    const Candidates& own = groups.front();
    const Candidates ownWithRoom = keep(own, hasRoom);
    if (!ownWithRoom.empty())
        return this->decide(ownWithRoom, request, false, now);
    const bool withinShare
        = this->state.overflow.allows(request.service, this->policyOf(request.service).overflowPercent, now);
    for (std::size_t place = 1; place < groups.size(); ++place) {
        const Candidates remote = keep(groups[place], withinShare ? hasRoom : hasSpareRoom);
        if (!remote.empty())
            return this->decide(remote, request, true, now);
    }
    if (!own.empty())
        return this->decide(own, request, false, now);
    for (std::size_t place = 1; place < groups.size() && withinShare; ++place)
        if (!groups[place].empty())
            return this->decide(groups[place], request, true, now);
    return std::nullopt;
}

bool EndpointChooser::takesWork(const EndpointState& view) const
{
    const bool known = view.inFleet && view.link == LinkState::Up && view.report.has_value();
    if (!known || view.report->leaving || view.listedLeaving)
        return false;
    return !this->state.orders.isOut(view.endpoint.id) && !this->state.orders.isOut(view.endpoint.zone);
}

std::vector<EndpointChooser::Candidates> EndpointChooser::byDistance(const LiveRequest& request, Instant now) const
{
    std::vector<Candidates> groups(distanceCount);
    for (const EndpointId& id : this->state.endpoints.chosenFor(request.service)) {
        const EndpointState* view = std::as_const(this->state.endpoints).find(id);
        if (view && this->suits(*view, request, now))
            groups[this->distance(*view)].push_back(view);
    }
    return groups;
}

std::size_t EndpointChooser::distance(const EndpointState& view) const
{
    if (view.endpoint.zone == this->state.zone)
        return 0;
    const auto& zones = this->state.fleet.zones;
    const auto own = zones.find(this->state.zone);
    const auto other = zones.find(view.endpoint.zone);
    const bool sameRegion = own != zones.end() && other != zones.end() && own->second.region == other->second.region;
    return sameRegion ? 1 : 2;
}

bool EndpointChooser::suits(const EndpointState& view, const LiveRequest& request, Instant now) const
{
    if (!this->takesWork(view) || request.avoided.contains(view.endpoint.id))
        return false;
    if (view.report->cold && roomLeft(view) == 0)
        return false;
    // Two suspects at one endpoint could not be told apart if it died again.
    const bool suspect = this->state.quarantine.isSuspect(request.fingerprint, now);
    return !suspect || !this->holdsSuspect(view.endpoint.id, now);
}

bool EndpointChooser::holdsSuspect(const EndpointId& endpoint, Instant now) const
{
    const std::vector<RequestId> running = this->state.requests.at(endpoint);
    return std::ranges::any_of(running, [&](RequestId id) {
        const LiveRequest* other = this->state.requests.find(id);
        return other && this->state.quarantine.isSuspect(other->fingerprint, now);
    });
}

EndpointId EndpointChooser::decide(const Candidates& candidates, const LiveRequest& request, bool overflow, Instant now)
{
    const RoutingQuery query { prefixHash(request.origin, this->state.limits.prefixBytes),
        this->state.turns[request.service]++ };
    const RoutingPolicy& policy = routingPolicy(this->policyOf(request.service).routing);
    this->state.overflow.count(request.service, overflow, now);
    return policy.choose(candidates, query).endpoint.id;
}

const PolicyChoice& EndpointChooser::policyOf(const ServiceId& service) const
{
    static const PolicyChoice defaults;
    const auto found = this->state.fleet.services.find(service);
    return found == this->state.fleet.services.end() ? defaults : found->second.policy;
}

}
