#pragma once

#include "core/gateway/EndpointDirectory.h"
#include "core/gateway/Rollout.h"

namespace teaselfold {

/** @return true if the endpoint has the version that the roll-out is to bring. */
inline bool isTarget(const Rollout& rollout, const GatewayEndpoint& endpoint)
{
    return endpoint.record.version == rollout.order.target;
}

/** The endpoints of a service that is being rolled out, by their version. */
class RolloutEndpoints {
public:
    explicit RolloutEndpoints(EndpointDirectory& endpoints)
        : endpoints(endpoints)
    {
    }

    /** @return the endpoints with the new version that may receive requests. */
    std::vector<const GatewayEndpoint*> targets(const Rollout& rollout) const;
    /** @return all endpoints with another version. */
    std::vector<EndpointId> previous(const Rollout& rollout) const;
    /** @return this gateway's requests in progress at endpoints with another version. */
    std::uint32_t runsAtPrevious(const Rollout& rollout) const;
    /** @return the versions of the service's endpoints other than the ordered one. */
    std::vector<SoftwareVersion> otherVersions(const RolloutOrder& order) const;
    /** @return true if the service has endpoints, and all of them have the ordered version. */
    bool haveOnlyTarget(const RolloutOrder& order) const;
    /** @return true if the endpoints with the new version can take all requests of the service. */
    bool canTakeAll(const Rollout& rollout, Instant now) const;

private:
    EndpointDirectory& endpoints;
};

}
