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
    /** Saved requests that all gateways together use at once: a number, and what the rate allows in a time. */
    constexpr double savedRequests = 4;
    constexpr Milliseconds savingTime(3000);
    /** Time in which a gateway uses a saved request. */
    constexpr Milliseconds savedUseTime(500);
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

double RateLimit::rate() const { return std::max(this->requestsPerSecond.value_or(0), minRate); }

bool RateLimit::drawSaved(std::size_t gatewayCount)
{
    // Multiples of the golden ratio are spread evenly, and begin at another place in each gateway.
    constexpr double goldenRatio = 0.6180339887498949;
    const double drawn = this->initialCredit + static_cast<double>(++this->draws) * goldenRatio;
    const double saved = savedRequests + this->rate() * std::chrono::duration<double>(savingTime).count();
    return (drawn - std::floor(drawn)) * static_cast<double>(gatewayCount) < saved;
}

void RateLimit::refill(double share, Instant now)
{
    if (!this->requestsPerSecond)
        return;
    const double seconds = std::chrono::duration<double>(now - this->refilledAt).count();
    const double capacity = 1 + std::max(1.0, this->burst(share));
    this->credit = std::min(capacity, this->credit + this->rate() * share * std::max(seconds, 0.0));
    this->refilledAt = now;
}

double RateLimit::burst(double share) const
{
    return share * (minBurst + this->rate() * std::chrono::duration<double>(burstTime).count());
}

void RateLimit::limitSaved(double share, std::size_t gatewayCount, Instant now)
{
    const double burst = this->burst(share);
    if (burst >= 1) {
        this->credit = std::min(burst, this->credit);
        return;
    }
    if (this->credit <= 1 + burst)
        return;
    // If each of many gateways used a request that it saved up, all of them could be sent at once.
    this->credit = 1 + burst;
    if (now < this->savedUntil)
        return;
    if (this->drawSaved(gatewayCount))
        this->savedUntil = now + savedUseTime;
    else
        this->credit -= 1;
}

Duration RateLimit::timeUntilAllowed(double share) const
{
    if (this->allows())
        return Duration(0);
    return durationOf((1 - this->credit) / (this->rate() * share));
}

std::optional<Duration> RateLimit::interval(double share) const
{
    if (!this->requestsPerSecond)
        return std::nullopt;
    return durationOf(1 / (this->rate() * share));
}

}
