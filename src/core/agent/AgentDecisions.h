#pragma once

#include "ports/AgentPorts.h"

#include <vector>

namespace teaselfold {

/** Decision logic of an agent: maps each event and the current time to actions. */
class AgentDecisions {
public:
    virtual ~AgentDecisions() = default;
    /** Handles one event. @param now the current time on the monotonic clock. @return the actions to perform, in order.
     */
    virtual std::vector<AgentAction> handle(const AgentEvent& event, Instant now) = 0;
    /** @return true while the agent accepts new work. */
    virtual bool ready() const = 0;
};

}
