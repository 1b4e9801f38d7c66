#include "core/gateway/RateLimit.h"

#include <algorithm>
#include <cmath>

namespace teaselfold {

namespace {

    /**
     * Lowest rate for all gateways together, in requests per second. An endpoint that gets no request could not state
     * that its limit is over.
     */
    constexpr double minRate = 0.5;
    /** Requests that all gateways together may save up: a number, and what the rate allows in a time. */
    constexpr double minBurst = 2;
    constexpr Milliseconds burstTime(500);
    constexpr Milliseconds maxInterval = std::chrono::minutes(5);

    Duration durationOf(double seconds)
    {
        const auto bounded
            = std::min(std::chrono::duration<double>(seconds), std::chrono::duration<double>(maxInterval));
        return std::chrono::duration_cast<Duration>(bounded);
    }

}

bool RateLimit::state(std::optional<double> statedRate, Instant at, Instant now)
{
    if (this->lastStatedAt && at < *this->lastStatedAt)
        return false;
    this->lastStatedAt = at;
    if (this->requestsPerSecond == statedRate)
        return false;
    if (!this->requestsPerSecond) {
        this->credit = this->initialCredit;
        this->refilledAt = now;
    }
    this->requestsPerSecond = statedRate;
    this->lifted = !statedRate;
    return true;
}

double RateLimit::rate(double share) const { return std::max(this->requestsPerSecond.value_or(0), minRate) * share; }

void RateLimit::refill(double share, Instant now)
{
    if (!this->requestsPerSecond)
        return;
    const double perSecond = this->rate(share);
    const double burst = share * minBurst + perSecond * std::chrono::duration<double>(burstTime).count();
    const double seconds = std::chrono::duration<double>(now - this->refilledAt).count();
    this->credit += perSecond * std::max(seconds, 0.0);
    this->refilledAt = now;
    if (burst >= 1) {
        this->credit = std::min(burst, this->credit);
        return;
    }
    // A gateway with a small share loses a request that it does not use in time. If each of many kept one, all of them
    // could be sent at once.
    const double excess = this->credit - (1 + burst);
    if (excess > 0)
        this->credit -= std::ceil(excess);
}

Duration RateLimit::timeUntilAllowed(double share) const
{
    if (this->allows())
        return Duration(0);
    return durationOf((1 - this->credit) / this->rate(share));
}

std::optional<Duration> RateLimit::interval(double share) const
{
    if (!this->requestsPerSecond)
        return std::nullopt;
    return durationOf(1 / this->rate(share));
}

}
