#include "core/agent/CallKeeperBuilder.h"

#include "core/agent/CallKeeper.h"
#include "core/common/Check.h"

namespace teaselfold {

CallKeeperBuilder& CallKeeperBuilder::withEndpoint(EndpointId id)
{
    this->endpoint = std::move(id);
    return *this;
}

CallKeeperBuilder& CallKeeperBuilder::withZone(ZoneId id)
{
    this->zone = std::move(id);
    return *this;
}

CallKeeperBuilder& CallKeeperBuilder::withIncarnation(Incarnation id)
{
    this->incarnation = id;
    return *this;
}

CallKeeperBuilder& CallKeeperBuilder::withRandomness(Randomness& source)
{
    this->randomness = &source;
    return *this;
}

CallKeeperBuilder& CallKeeperBuilder::withLimits(AgentLimits chosen)
{
    this->limits = chosen;
    return *this;
}

CallKeeper CallKeeperBuilder::build() const
{
    internalCheck(this->randomness != nullptr, "a call keeper has a source of randomness");
    return CallKeeper(*this);
}

}
