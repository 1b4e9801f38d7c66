#include "core/gateway/StoreFreshness.h"

namespace teaselfold {

void StoreFreshness::answered(Followed part, Instant askedAt, Instant now)
{
    Part& followed = this->at(part);
    if (!followed.asOf || askedAt > *followed.asOf)
        followed.asOf = askedAt;
    if (followed.failingSince && now - *followed.failingSince >= this->limits.outageAfter)
        followed.graceUntil = now + this->limits.lapseGrace;
    followed.failingSince.reset();
}

void StoreFreshness::failed(Followed part, Instant now)
{
    Part& followed = this->at(part);
    if (!followed.failingSince)
        followed.failingSince = now;
}

std::optional<Duration> StoreFreshness::age(Followed part, Instant now) const
{
    const Part& followed = this->at(part);
    if (!followed.asOf)
        return std::nullopt;
    return now - *followed.asOf;
}

bool StoreFreshness::isFresh(Followed part, Milliseconds bound, Instant now) const
{
    const auto known = this->age(part, now);
    return known && *known < bound;
}

std::optional<Instant> StoreFreshness::lapseGraceUntil(Followed part, Instant now) const
{
    const Part& followed = this->at(part);
    if (!followed.graceUntil || *followed.graceUntil <= now)
        return std::nullopt;
    return followed.graceUntil;
}

}
