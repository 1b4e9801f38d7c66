#pragma once

#include "ports/AgentPorts.h"

#include <optional>
#include <vector>

namespace teaselfold {

/** Reads the platform's instance list from time to time, to learn that the own instance is leaving. */
class InstanceListPoller {
public:
    explicit InstanceListPoller(EndpointId endpoint)
        : endpoint(std::move(endpoint))
    {
    }

    /** Asks for the list when it is due. */
    void tick(Instant now, std::vector<AgentAction>& actions);

    /** @return true when the reply is a list that marks the own instance as leaving. */
    bool showsOwnInstanceLeaving(const PlatformReply& reply) const;

private:
    EndpointId endpoint;
    std::optional<Instant> nextReadAt;
};

}
