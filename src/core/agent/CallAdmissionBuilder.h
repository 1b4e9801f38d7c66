#pragma once

#include "core/agent/AgentLimits.h"
#include "ports/Ids.h"
#include "ports/Randomness.h"

namespace teaselfold {

class CallAdmission;

/** Builds a CallAdmission. A source of randomness is required: it draws the tokens of claims. */
class CallAdmissionBuilder {
public:
    CallAdmissionBuilder& withEndpoint(EndpointId id);
    CallAdmissionBuilder& withZone(ZoneId id);
    CallAdmissionBuilder& withIncarnation(Incarnation id);
    /** @param source must outlive what is built. */
    CallAdmissionBuilder& withRandomness(Randomness& source);
    CallAdmissionBuilder& withLimits(AdmissionLimits newLimits);
    CallAdmission build() const;

private:
    friend class CallAdmission;
    EndpointId endpoint;
    ZoneId zone;
    Incarnation incarnation;
    Randomness* randomness { nullptr };
    AdmissionLimits limits;
};

}
