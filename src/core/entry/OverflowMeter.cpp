#include "core/entry/OverflowMeter.h"

#include <cmath>

namespace teaselfold {

namespace {

    constexpr Seconds decayTimeConstant { 10 };
    /** Dispatches to other zones allowed beyond the share, so that a service with little traffic can overflow too. */
    constexpr double overflowAllowance = 4;
    constexpr double percentScale = 100;

}

void OverflowMeter::recordDispatch(const ServiceId& service, bool overflow, Instant now)
{
    Traffic& traffic = this->traffic(service, now);
    traffic.total += 1;
    if (overflow)
        traffic.overflow += 1;
}

bool OverflowMeter::allows(const ServiceId& service, std::uint32_t percent, Instant now)
{
    const Traffic& traffic = this->traffic(service, now);
    return traffic.overflow + 1 <= overflowAllowance + (traffic.total + 1) * percent / percentScale;
}

OverflowMeter::Traffic& OverflowMeter::traffic(const ServiceId& service, Instant now)
{
    Traffic& traffic = this->services[service];
    const Instant since = traffic.decayedAt.value_or(now);
    const double factor = std::exp(-std::chrono::duration<double>(now - since) / decayTimeConstant);
    traffic.total *= factor;
    traffic.overflow *= factor;
    traffic.decayedAt = now;
    return traffic;
}

}
