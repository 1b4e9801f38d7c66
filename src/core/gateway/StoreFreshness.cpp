#include "core/gateway/StoreFreshness.h"

namespace teaselfold {

void StoreFreshness::recordSuccess(Followed part, Instant askedAt, Instant now)
{
    PartState& state = this->stateOf(part);
    if (!state.asOf || askedAt > *state.asOf)
        state.asOf = askedAt;
    if (state.failingSince && now - *state.failingSince >= this->limits.outageAfter)
        state.graceUntil = now + this->limits.lapseGrace;
    state.failingSince.reset();
}

void StoreFreshness::recordFailure(Followed part, Instant now)
{
    PartState& state = this->stateOf(part);
    if (!state.failingSince)
        state.failingSince = now;
}

std::optional<Duration> StoreFreshness::age(Followed part, Instant now) const
{
    const PartState& state = this->stateOf(part);
    if (!state.asOf)
        return std::nullopt;
    return now - *state.asOf;
}

bool StoreFreshness::isFresh(Followed part, Milliseconds bound, Instant now) const
{
    const auto dataAge = this->age(part, now);
    return dataAge && *dataAge < bound;
}

std::optional<Instant> StoreFreshness::lapseGraceUntil(Followed part, Instant now) const
{
    const PartState& state = this->stateOf(part);
    if (!state.graceUntil || *state.graceUntil <= now)
        return std::nullopt;
    return state.graceUntil;
}

}
