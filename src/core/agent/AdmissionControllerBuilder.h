#pragma once

#include "core/agent/AgentLimits.h"
#include "ports/Ids.h"
#include "ports/Randomness.h"

namespace teaselfold {

class AdmissionController;

/** Builds an AdmissionController. Randomness is optional and adds jitter to the retry delays of refused callers. */
class AdmissionControllerBuilder {
public:
    AdmissionControllerBuilder& withEndpoint(EndpointId id);
    AdmissionControllerBuilder& withZone(ZoneId id);
    AdmissionControllerBuilder& withIncarnation(Incarnation id);
    /** @param source must outlive the built controller. */
    AdmissionControllerBuilder& withRandomness(Randomness& source);
    AdmissionControllerBuilder& withLimits(AgentLimits newLimits);
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
