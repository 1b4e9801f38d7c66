#include "core/agent/CallAdmissionBuilder.h"

#include "core/agent/CallAdmission.h"
#include "core/common/Check.h"

namespace teaselfold {

CallAdmissionBuilder& CallAdmissionBuilder::withEndpoint(EndpointId id)
{
    this->endpoint = std::move(id);
    return *this;
}

CallAdmissionBuilder& CallAdmissionBuilder::withZone(ZoneId id)
{
    this->zone = std::move(id);
    return *this;
}

CallAdmissionBuilder& CallAdmissionBuilder::withIncarnation(Incarnation id)
{
    this->incarnation = id;
    return *this;
}

CallAdmissionBuilder& CallAdmissionBuilder::withRandomness(Randomness& source)
{
    this->randomness = &source;
    return *this;
}

CallAdmissionBuilder& CallAdmissionBuilder::withLimits(AgentLimits newLimits)
{
    this->limits = newLimits;
    return *this;
}

CallAdmission CallAdmissionBuilder::build() const
{
    internalCheck(this->randomness != nullptr, "CallAdmission needs a source of randomness");
    return CallAdmission(*this);
}

}
