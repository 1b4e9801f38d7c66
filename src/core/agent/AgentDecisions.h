#pragma once

#include "ports/AgentPorts.h"

#include <vector>

namespace teaselfold {

/** The decisions of an agent: one event and the time go in, actions come out. */
class AgentDecisions {
public:
    virtual ~AgentDecisions() = default;
    /** Handles one event. @param now the time on the monotonic clock. @return what is to be done, in order. */
    virtual std::vector<AgentAction> handle(const AgentEvent& event, Instant now) = 0;
    /** @return true while new work is taken. */
    virtual bool ready() const = 0;
};

}
