#include "core/gateway/StoreFreshness.h"

namespace teaselfold {

void StoreFreshness::recordSuccess(StoreSection section, Instant readStartedAt, Instant now)
{
    SectionState& state = this->stateOf(section);
    if (!state.asOf || readStartedAt > *state.asOf)
        state.asOf = readStartedAt;
    if (state.failingSince && now - *state.failingSince >= this->limits.outageThreshold)
        state.graceUntil = now + this->limits.reregistrationGrace;
    state.failingSince.reset();
}

void StoreFreshness::recordFailure(StoreSection section, Instant now)
{
    SectionState& state = this->stateOf(section);
    if (!state.failingSince)
        state.failingSince = now;
}

std::optional<Duration> StoreFreshness::age(StoreSection section, Instant now) const
{
    const SectionState& state = this->stateOf(section);
    if (!state.asOf)
        return std::nullopt;
    return now - *state.asOf;
}

bool StoreFreshness::isFresh(StoreSection section, Milliseconds bound, Instant now) const
{
    const auto dataAge = this->age(section, now);
    return dataAge && *dataAge < bound;
}

std::optional<Instant> StoreFreshness::reregistrationGraceEnd(StoreSection section, Instant now) const
{
    const SectionState& state = this->stateOf(section);
    if (!state.graceUntil || *state.graceUntil <= now)
        return std::nullopt;
    return state.graceUntil;
}

}
