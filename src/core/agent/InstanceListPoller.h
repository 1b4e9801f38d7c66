#pragma once

#include "ports/AgentPorts.h"

#include <optional>
#include <vector>

namespace teaselfold {

/** Polls the platform's instance list to detect that the agent's own instance is leaving. */
class InstanceListPoller {
public:
    explicit InstanceListPoller(EndpointId endpoint)
        : endpoint(std::move(endpoint))
    {
    }

    /** Requests the list when the next poll is due. */
    void tick(Instant now, std::vector<AgentAction>& actions);

    /** @return true when the reply is an instance list that marks the agent's own instance as leaving. */
    bool showsOwnInstanceLeaving(const PlatformReply& reply) const;

private:
    EndpointId endpoint;
    std::optional<Instant> nextReadAt;
};

}
