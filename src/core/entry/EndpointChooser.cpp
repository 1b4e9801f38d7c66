#include "core/entry/EndpointChooser.h"

#include "core/entry/Rendezvous.h"

#include <algorithm>

namespace teaselfold {

namespace {

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
        kept.reserve(candidates.size());
        std::ranges::copy_if(candidates, std::back_inserter(kept), condition);
        return kept;
    }

    bool hasRoom(const EndpointState* view) { return roomLeft(*view) > 0; }

    bool hasSpareRoom(const EndpointState* view) { return roomLeft(*view) / spareDivisor > 0; }

}

std::optional<EndpointId> EndpointChooser::choose(const LiveRequest& request, Instant now)
{
    const auto groups = this->byDistance(request, now);
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

std::array<EndpointChooser::Candidates, EndpointChooser::distanceCount> EndpointChooser::byDistance(
    const LiveRequest& request, Instant now) const
{
    // Two suspects at one endpoint could not be told apart if it died again.
    const bool suspect = this->state.quarantine.isSuspect(request.fingerprint, now);
    const std::string* region = this->regionOf(this->state.zone);
    const auto& chosen = this->state.endpoints.chosenFor(request.service);
    std::array<Candidates, distanceCount> groups;
    for (Candidates& group : groups)
        group.reserve(chosen.size());
    for (const EndpointState* view : chosen) {
        if (this->suits(*view, request) && !(suspect && this->holdsSuspect(view->endpoint.id, now)))
            groups[this->distance(*view, region)].push_back(view);
    }
    return groups;
}

std::size_t EndpointChooser::distance(const EndpointState& view, const std::string* region) const
{
    if (view.endpoint.zone == this->state.zone)
        return 0;
    const std::string* other = this->regionOf(view.endpoint.zone);
    return region && other && *region == *other ? 1 : 2;
}

const std::string* EndpointChooser::regionOf(const ZoneId& zone) const
{
    const auto found = this->state.fleet.zones.find(zone);
    return found == this->state.fleet.zones.end() ? nullptr : &found->second.region;
}

bool EndpointChooser::suits(const EndpointState& view, const LiveRequest& request) const
{
    if (!this->takesWork(view) || request.avoided.contains(view.endpoint.id))
        return false;
    return !view.report->cold || roomLeft(view) > 0;
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

const ServicePolicy& EndpointChooser::policyOf(const ServiceId& service) const
{
    static const ServicePolicy defaults;
    const auto found = this->state.fleet.services.find(service);
    return found == this->state.fleet.services.end() ? defaults : found->second.policy;
}

}
