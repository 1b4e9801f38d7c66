#pragma once

#include "core/entry/EndpointTable.h"

#include <string_view>
#include <vector>

namespace teaselfold {

/** Inputs to a routing decision besides the candidates. */
struct RoutingQuery {
    /** Hash of the prompt's prefix, or of the call's path. */
    std::uint64_t prefixHash { 0 };
    /** Number of the decision; increases by one with each decision of the service. */
    std::uint64_t sequence { 0 };
};

/** A stateless strategy that chooses one endpoint among the candidates for a request. */
class RoutingPolicy {
public:
    virtual ~RoutingPolicy() = default;
    /** @param candidates the eligible endpoints; never empty. @return the chosen endpoint. */
    virtual const EndpointState& choose(
        const std::vector<const EndpointState*>& candidates, const RoutingQuery& query) const = 0;
};

/** @return the policy with this name, or the default policy when there is none. */
const RoutingPolicy& routingPolicy(std::string_view name);

}
