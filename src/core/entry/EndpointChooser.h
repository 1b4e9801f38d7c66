#pragma once

#include "core/entry/RouterState.h"
#include "core/entry/RoutingPolicy.h"

#include <array>
#include <optional>
#include <string>

namespace teaselfold {

/**
 * Chooses the endpoint for an attempt: first in this entry's zone, then in its region, then anywhere. The overflow
 * share limits the traffic to other zones.
 */
class EndpointChooser {
public:
    explicit EndpointChooser(RouterState& state)
        : state(state)
    {
    }

    /** @return the endpoint, or nullopt when no endpoint can accept the request now. */
    std::optional<EndpointId> choose(const LiveRequest& request, Instant now);

    /** @return whether the endpoint accepts new work at all, independent of the request. */
    bool isEligible(const EndpointState& endpointState) const;

private:
    using Candidates = std::vector<const EndpointState*>;

    /** The groups are: same zone, same region, elsewhere. */
    static constexpr std::size_t distanceCount = 3;

    /** @return the endpoints that may run the request, grouped by distance from this entry. */
    std::array<Candidates, distanceCount> candidatesByDistance(const LiveRequest& request, Instant now) const;
    /**
     * @param region the region of this entry; null when its zone is unknown.
     * @return the index of the endpoint's group: 0 for the same zone, 1 for the same region, 2 otherwise.
     */
    std::size_t distance(const EndpointState& endpointState, const std::string* region) const;
    /** @return the region of the zone, or nullptr when the zone is unknown. */
    const std::string* regionOf(const ZoneId& zone) const;
    bool isEligibleFor(const EndpointState& endpointState, const LiveRequest& request) const;
    /** @return whether a quarantine suspect has an attempt at the endpoint. */
    bool runsSuspect(const EndpointId& endpoint, Instant now) const;
    /** Chooses among the candidates by the service's routing policy and counts the dispatch. */
    EndpointId applyPolicy(const Candidates& candidates, const LiveRequest& request, bool overflow, Instant now);
    const ServicePolicy& policyOf(const ServiceId& service) const;

    RouterState& state;
};

}
