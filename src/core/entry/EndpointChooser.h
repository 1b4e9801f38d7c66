#pragma once

#include "core/entry/RouterState.h"
#include "core/entry/RoutingPolicy.h"

#include <array>
#include <optional>
#include <string>

namespace teaselfold {

/** Chooses the endpoint for an attempt: own zone first, then the region, then anywhere, within the overflow share. */
class EndpointChooser {
public:
    explicit EndpointChooser(RouterState& state)
        : state(state)
    {
    }

    /** @return the endpoint, or nothing when none may take the request now. */
    std::optional<EndpointId> choose(const LiveRequest& request, Instant now);

    /** @return whether the endpoint may get new work of any request. */
    bool takesWork(const EndpointState& view) const;

private:
    using Candidates = std::vector<const EndpointState*>;

    /** Own zone, own region, elsewhere. */
    static constexpr std::size_t distanceCount = 3;

    /** Candidates by distance. */
    std::array<Candidates, distanceCount> byDistance(const LiveRequest& request, Instant now) const;
    /** @param region the region of this entry; null when its zone is unknown. */
    std::size_t distance(const EndpointState& view, const std::string* region) const;
    const std::string* regionOf(const ZoneId& zone) const;
    bool suits(const EndpointState& view, const LiveRequest& request) const;
    bool holdsSuspect(const EndpointId& endpoint, Instant now) const;
    EndpointId decide(const Candidates& candidates, const LiveRequest& request, bool overflow, Instant now);
    const ServicePolicy& policyOf(const ServiceId& service) const;

    RouterState& state;
};

}
