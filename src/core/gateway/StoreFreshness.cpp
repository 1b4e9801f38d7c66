#include "core/gateway/StoreFreshness.h"

namespace teaselfold {

void StoreFreshness::answered(StoreSection section, Instant readStartedAt, Instant now)
{
    Part& followed = this->at(section);
    if (!followed.asOf || readStartedAt > *followed.asOf)
        followed.asOf = readStartedAt;
    if (followed.failingSince && now - *followed.failingSince >= this->limits.outageThreshold)
        followed.graceUntil = now + this->limits.reregistrationGrace;
    followed.failingSince.reset();
}

void StoreFreshness::failed(StoreSection section, Instant now)
{
    Part& followed = this->at(section);
    if (!followed.failingSince)
        followed.failingSince = now;
}

std::optional<Duration> StoreFreshness::age(StoreSection section, Instant now) const
{
    const Part& followed = this->at(section);
    if (!followed.asOf)
        return std::nullopt;
    return now - *followed.asOf;
}

bool StoreFreshness::isFresh(StoreSection section, Milliseconds bound, Instant now) const
{
    const auto known = this->age(section, now);
    return known && *known < bound;
}

std::optional<Instant> StoreFreshness::lapseGraceUntil(StoreSection section, Instant now) const
{
    const Part& followed = this->at(section);
    if (!followed.graceUntil || *followed.graceUntil <= now)
        return std::nullopt;
    return followed.graceUntil;
}

}
