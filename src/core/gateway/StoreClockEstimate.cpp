#include "core/gateway/StoreClockEstimate.h"

#include <algorithm>

namespace teaselfold {

namespace {

    /** Bound on the rate difference between two steady clocks: 500 parts per million. */
    constexpr int driftDivisor = 2000;

}

Instant StoreClockEstimate::project(const Anchor& from, StoreTime time)
{
    const Duration elapsed = time - from.storeTime;
    const Duration magnitude = elapsed < Duration::zero() ? -elapsed : elapsed;
    return from.localTime + elapsed - magnitude / driftDivisor;
}

void StoreClockEstimate::observe(Instant startedAt, StoreTime storeTime, Instant now)
{
    const Anchor observed { storeTime, startedAt };
    // A projection after the response means that the store's clock jumped, for example because the store was replaced.
    const bool isUsable = this->anchor && project(*this->anchor, storeTime) <= now;
    if (!isUsable || project(*this->anchor, storeTime) < startedAt)
        this->anchor = observed;
}

std::optional<Instant> StoreClockEstimate::toLocal(StoreTime time, Instant now) const
{
    if (!this->anchor)
        return std::nullopt;
    return std::min(project(*this->anchor, time), now);
}

}
