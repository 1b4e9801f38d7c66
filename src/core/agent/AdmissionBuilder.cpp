#include "core/agent/AdmissionBuilder.h"

#include "core/agent/Admission.h"

namespace teaselfold {

AdmissionBuilder& AdmissionBuilder::withEndpoint(EndpointId id)
{
    this->endpoint = std::move(id);
    return *this;
}

AdmissionBuilder& AdmissionBuilder::withZone(ZoneId id)
{
    this->zone = std::move(id);
    return *this;
}

AdmissionBuilder& AdmissionBuilder::withIncarnation(Incarnation id)
{
    this->incarnation = id;
    return *this;
}

AdmissionBuilder& AdmissionBuilder::withRandomness(Randomness& source)
{
    this->randomness = &source;
    return *this;
}

AdmissionBuilder& AdmissionBuilder::withLimits(AdmissionLimits chosen)
{
    this->limits = chosen;
    return *this;
}

Admission AdmissionBuilder::build() const { return Admission(*this); }

}
