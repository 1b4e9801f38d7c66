#pragma once

#include "core/agent/AgentLimits.h"
#include "ports/Ids.h"
#include "ports/Randomness.h"

namespace teaselfold {

class AdmissionController;

/** Builds an AdmissionController. Randomness, when given, spreads the waits told to refused callers. */
class AdmissionControllerBuilder {
public:
    AdmissionControllerBuilder& withEndpoint(EndpointId id);
    AdmissionControllerBuilder& withZone(ZoneId id);
    AdmissionControllerBuilder& withIncarnation(Incarnation id);
    /** @param source must outlive what is built. */
    AdmissionControllerBuilder& withRandomness(Randomness& source);
    AdmissionControllerBuilder& withLimits(AgentLimits chosen);
    AdmissionController build() const;

private:
    friend class AdmissionController;
    EndpointId endpoint;
    ZoneId zone;
    Incarnation incarnation;
    Randomness* randomness { nullptr };
    AgentLimits limits;
};

}
