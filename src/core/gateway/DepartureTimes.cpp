#include "core/gateway/DepartureTimes.h"

#include <algorithm>

namespace teaselfold {

namespace {

    /** Time that is assumed before an endpoint has ended. */
    constexpr Milliseconds assumedDepartureTime(3000);
    constexpr std::size_t maxTimes = 16;

}

void DepartureTimes::record(const ServiceId& service, Duration time)
{
    auto& known = this->times[service];
    known.push_back(time);
    if (known.size() > maxTimes)
        known.pop_front();
}

Duration DepartureTimes::shortest(const ServiceId& service) const
{
    const auto known = this->times.find(service);
    return known == this->times.end() ? Duration(assumedDepartureTime)
                                      : *std::min_element(known->second.begin(), known->second.end());
}

}
