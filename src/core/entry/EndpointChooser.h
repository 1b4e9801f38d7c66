#pragma once

#include "core/entry/RouterState.h"
#include "core/entry/RoutingPolicy.h"

#include <optional>

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

    /** Candidates by distance: own zone, own region, elsewhere. */
    std::vector<Candidates> byDistance(const LiveRequest& request, Instant now) const;
    std::size_t distance(const EndpointState& view) const;
    bool suits(const EndpointState& view, const LiveRequest& request, Instant now) const;
    bool holdsSuspect(const EndpointId& endpoint, Instant now) const;
    EndpointId decide(const Candidates& candidates, const LiveRequest& request, bool overflow, Instant now);
    const PolicyChoice& policyOf(const ServiceId& service) const;

    RouterState& state;
};

}
