#include "core/agent/AdmissionControllerBuilder.h"

#include "core/agent/AdmissionController.h"

namespace teaselfold {

AdmissionControllerBuilder& AdmissionControllerBuilder::withEndpoint(EndpointId id)
{
    this->endpoint = std::move(id);
    return *this;
}

AdmissionControllerBuilder& AdmissionControllerBuilder::withZone(ZoneId id)
{
    this->zone = std::move(id);
    return *this;
}

AdmissionControllerBuilder& AdmissionControllerBuilder::withIncarnation(Incarnation id)
{
    this->incarnation = id;
    return *this;
}

AdmissionControllerBuilder& AdmissionControllerBuilder::withRandomness(Randomness& source)
{
    this->randomness = &source;
    return *this;
}

AdmissionControllerBuilder& AdmissionControllerBuilder::withLimits(AgentLimits newLimits)
{
    this->limits = newLimits;
    return *this;
}

AdmissionController AdmissionControllerBuilder::build() const { return AdmissionController(*this); }

}
