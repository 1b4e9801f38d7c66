#include "core/gateway/ExternalLoadEstimate.h"

#include <algorithm>
#include <cmath>

namespace teaselfold {

namespace {

    /** Weight of one report in the mean. */
    constexpr double meanWeight = 0.2;
    /** Fraction of the maximum age of reports that is the time constant of a single one. */
    constexpr double reportFraction = 1.0 / 3;
    /** Multiple of the maximum age of reports that is the time constant of the mean. */
    constexpr double meanFactor = 4;

    double remainder(Duration age, std::chrono::duration<double> timeConstant)
    {
        return std::exp(-(std::chrono::duration<double>(std::max(age, Duration(0))) / timeConstant));
    }

}

void ExternalLoadEstimate::record(double requests, Instant now)
{
    this->mean = this->last ? this->mean + (requests - this->mean) * meanWeight : requests;
    this->last = requests;
    this->reportedAt = now;
}

double ExternalLoadEstimate::requests(Milliseconds maxAge, Instant now) const
{
    if (!this->last)
        return 0;
    const Duration age = now - this->reportedAt;
    const std::chrono::duration<double> unit(maxAge);
    const double present = this->mean + (*this->last - this->mean) * remainder(age, unit * reportFraction);
    return present * remainder(age, unit * meanFactor);
}

}
