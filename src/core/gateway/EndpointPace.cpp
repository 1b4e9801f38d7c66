#include "core/gateway/EndpointPace.h"

#include <algorithm>
#include <cmath>

namespace teaselfold {

namespace {

    /** Intervals that tell an engine's usual one. */
    constexpr std::size_t minSamples = 4;
    /** Position of the usual interval among the sorted ones; longer ones have a prefill or a busy instance in them. */
    constexpr std::size_t usualQuantileDivisor = 3;
    /** Time constant in which a statement loses its meaning: other work on an instance comes and goes. */
    constexpr Milliseconds statementLifetime(500);
    /** Weight of one statement in the mean of an endpoint's slowdown. */
    constexpr double meanWeight = 0.1;
    /** Statements closer together than this may be the same one, received in two ways. */
    constexpr Milliseconds sameStatement(30);
    /** Older statements are not passed on. */
    constexpr Milliseconds maxSharedAge(2000);

}

void EndpointPace::recordInterval(Duration interval) { this->samples[this->samplesTaken++ % sampleCount] = interval; }

bool EndpointPace::recordSlowdown(double factor, Instant time)
{
    if (this->stated && time <= this->statedAt)
        return false;
    this->meanSlowdown += (factor - this->meanSlowdown) * meanWeight;
    this->stated = factor;
    this->statedAt = time;
    this->wasStatedHere = true;
    return true;
}

std::optional<double> EndpointPace::merge(const EndpointCondition& condition, Instant now)
{
    if (condition.eventInterval > Microseconds(0))
        this->reportedInterval = condition.eventInterval;
    const Instant time = now - condition.age;
    if (condition.slowdown <= 0 || (this->stated && time <= this->statedAt + sameStatement))
        return std::nullopt;
    this->recordSlowdown(condition.slowdown, time);
    this->wasStatedHere = false;
    return condition.slowdown;
}

std::optional<Duration> EndpointPace::measuredInterval() const
{
    const std::size_t count = std::min(this->samplesTaken, sampleCount);
    if (count < minSamples)
        return std::nullopt;
    auto sorted = this->samples;
    const auto usual = sorted.begin() + static_cast<std::ptrdiff_t>(count / usualQuantileDivisor);
    std::nth_element(sorted.begin(), usual, sorted.begin() + static_cast<std::ptrdiff_t>(count));
    return *usual;
}

std::optional<Duration> EndpointPace::usualInterval() const
{
    const auto measured = this->measuredInterval();
    return measured ? measured : this->reportedInterval;
}

double EndpointPace::confidence(Instant now) const
{
    if (!this->stated)
        return 0;
    const std::chrono::duration<double> age = std::max(now - this->statedAt, Duration(0));
    return std::exp(-(age / std::chrono::duration<double>(statementLifetime)));
}

double EndpointPace::slowdown(Instant now) const
{
    return this->meanSlowdown + (this->lastSlowdown() - this->meanSlowdown) * this->confidence(now);
}

std::optional<EndpointCondition> EndpointPace::condition(std::uint32_t endpoint, Instant now) const
{
    const auto measured = this->measuredInterval();
    const bool isOwnStatement = this->stated && this->wasStatedHere && now - this->statedAt <= maxSharedAge;
    if (!measured && !isOwnStatement)
        return std::nullopt;
    EndpointCondition condition { endpoint };
    if (measured)
        condition.eventInterval = std::chrono::duration_cast<Microseconds>(*measured);
    if (isOwnStatement) {
        condition.slowdown = *this->stated;
        condition.age = std::chrono::duration_cast<Milliseconds>(std::max(now - this->statedAt, Duration(0)));
    }
    return condition;
}

}
