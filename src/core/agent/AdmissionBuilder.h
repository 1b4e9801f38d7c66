#pragma once

#include "core/agent/AgentLimits.h"
#include "ports/Ids.h"
#include "ports/Randomness.h"

namespace teaselfold {

class Admission;

/** Builds an Admission. Randomness, when given, spreads the waits told to refused callers. */
class AdmissionBuilder {
public:
    AdmissionBuilder& withEndpoint(EndpointId id);
    AdmissionBuilder& withZone(ZoneId id);
    AdmissionBuilder& withIncarnation(Incarnation id);
    /** @param source must outlive what is built. */
    AdmissionBuilder& withRandomness(Randomness& source);
    AdmissionBuilder& withLimits(AdmissionLimits chosen);
    Admission build() const;

private:
    friend class Admission;
    EndpointId endpoint;
    ZoneId zone;
    Incarnation incarnation;
    Randomness* randomness { nullptr };
    AdmissionLimits limits;
};

}
