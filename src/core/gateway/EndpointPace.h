#pragma once

#include "ports/GatewayMessages.h"
#include "ports/PeerMessages.h"

#include <array>
#include <cstdint>
#include <optional>

namespace teaselfold {

/**
 * How fast an endpoint works: the usual interval between the events of its streams, and the factor by which work takes
 * longer than usual there now because its instance has other work. Both come from this gateway's own exchanges and from
 * what the other gateways say of theirs.
 */
class EndpointPace {
public:
    /** Adds a measured time between two events of a stream. */
    void recordInterval(Duration interval);
    /** Records the slowdown that the endpoint stated at the given time. @return false if a later one is known. */
    bool recordSlowdown(double factor, Instant statedAt);
    /**
     * Adds what another gateway knows.
     * @return the slowdown, if it was stated later than the one known.
     */
    std::optional<double> merge(const EndpointCondition& condition, Instant now);

    /** @return the usual interval; unset if neither this gateway nor another one measured enough of them. */
    std::optional<Duration> usualInterval() const;
    /** @return the expected slowdown, 1 if none was stated: the last one, which an older report moves to the mean. */
    double slowdown(Instant now) const;
    /** @return how much the last statement still tells of the present: 1 when it is new, 0 without one. */
    double confidence(Instant now) const;
    /** @return the slowdown as it was last stated; 1 if none was. */
    double lastSlowdown() const { return this->stated.value_or(1); }
    /** @return what this gateway measured or was told by the endpoint itself; unset if that is nothing. */
    std::optional<EndpointCondition> condition(std::uint32_t endpoint, Instant now) const;

private:
    static constexpr std::size_t sampleCount = 15;

    /** @return the interval that a third of this gateway's recent ones do not exceed; unset if they are few. */
    std::optional<Duration> measuredInterval() const;

    std::array<Duration, sampleCount> samples {};
    std::size_t samplesTaken { 0 };
    std::optional<Duration> reportedInterval;
    std::optional<double> stated;
    Instant statedAt;
    /** The last statement was received from the endpoint itself. */
    bool wasStatedHere { false };
    double meanSlowdown { 1 };
};

}
