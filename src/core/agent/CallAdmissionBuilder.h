#pragma once

#include "core/agent/AgentLimits.h"
#include "ports/Ids.h"
#include "ports/Randomness.h"

namespace teaselfold {

class CallAdmission;

/** Builds a CallAdmission. A source of randomness is required; it supplies the tokens of claims. */
class CallAdmissionBuilder {
public:
    CallAdmissionBuilder& withEndpoint(EndpointId id);
    CallAdmissionBuilder& withZone(ZoneId id);
    CallAdmissionBuilder& withIncarnation(Incarnation id);
    /** @param source must outlive the built object. */
    CallAdmissionBuilder& withRandomness(Randomness& source);
    CallAdmissionBuilder& withLimits(AgentLimits newLimits);
    CallAdmission build() const;

private:
    friend class CallAdmission;
    EndpointId endpoint;
    ZoneId zone;
    Incarnation incarnation;
    Randomness* randomness { nullptr };
    AgentLimits limits;
};

}
