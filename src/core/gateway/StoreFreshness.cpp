#include "core/gateway/StoreFreshness.h"

#include <algorithm>

namespace teaselfold {

bool StoreFreshness::isOutage(const SectionState& state, Instant nextReadingAt) const
{
    if (!state.asOf)
        return false;
    const Duration suspendedTime
        = std::min(nextReadingAt, this->lastSuspension.endedAt) - std::max(*state.asOf, this->lastSuspension.beganAt);
    return nextReadingAt - *state.asOf - std::max(suspendedTime, Duration::zero()) >= this->limits.outageThreshold;
}

void StoreFreshness::recordReading(StoreSection section, Instant asOf, Instant now)
{
    SectionState& state = this->stateOf(section);
    if (state.asOf && asOf <= *state.asOf)
        return;
    if (this->isOutage(state, asOf))
        state.lastOutage = Interval { *state.asOf, now };
    state.asOf = asOf;
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
    // What is read first after an outage is handled before the read is recorded.
    const auto outage = this->isOutage(state, now) ? std::optional(Interval { *state.asOf, now }) : state.lastOutage;
    if (!outage || now < outage->beganAt + this->limits.minRecordExpiry)
        return std::nullopt;
    const Instant graceEnd = outage->endedAt + this->limits.reregistrationGrace;
    return graceEnd > now ? std::optional(graceEnd) : std::nullopt;
}

}
