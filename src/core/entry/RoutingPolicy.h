#pragma once

#include "core/entry/EndpointTable.h"

#include <string_view>
#include <vector>

namespace teaselfold {

/** What a policy may look at beside the candidates. */
struct RoutingQuery {
    /** Hash of the prompt's first part, or of the call's path. */
    std::uint64_t prefixHash { 0 };
    /** Rises by one with each decision of the service. */
    std::uint64_t sequence { 0 };
};

/** Chooses one endpoint among those that may take the request. Stateless. */
class RoutingPolicy {
public:
    virtual ~RoutingPolicy() = default;
    /** @param candidates never empty. @return the chosen one. */
    virtual const EndpointState& choose(
        const std::vector<const EndpointState*>& candidates, const RoutingQuery& query) const = 0;
};

/** @return the policy of this name; the default policy when there is none. */
const RoutingPolicy& routingPolicy(std::string_view name);

}
