#pragma once

#include "core/agent/AgentLimits.h"
#include "ports/Ids.h"
#include "ports/Randomness.h"

namespace teaselfold {

class CallKeeper;

/** Builds a CallKeeper. A source of randomness is required: it draws the tokens of claims. */
class CallKeeperBuilder {
public:
    CallKeeperBuilder& withEndpoint(EndpointId id);
    CallKeeperBuilder& withZone(ZoneId id);
    CallKeeperBuilder& withIncarnation(Incarnation id);
    /** @param source must outlive what is built. */
    CallKeeperBuilder& withRandomness(Randomness& source);
    CallKeeperBuilder& withLimits(AgentLimits chosen);
    CallKeeper build() const;

private:
    friend class CallKeeper;
    EndpointId endpoint;
    ZoneId zone;
    Incarnation incarnation;
    Randomness* randomness { nullptr };
    AgentLimits limits;
};

}
