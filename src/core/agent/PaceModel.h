#pragma once

#include "ports/Time.h"

#include <cstdint>
#include <optional>

namespace teaselfold {

/**
 * Learns the time between tokens as a line over the batch size, `step = base + slope * batch`, by least squares with
 * exponential forgetting.
 */
class PaceModel {
public:
    /** Learns one gap between tokens. @param batch generations that ran. @return true when the pace collapsed. */
    bool observe(std::uint32_t batch, Duration gap, Instant now);

    /** @return the expected time between tokens at a batch size; zero while nothing is known. */
    Microseconds expected(std::uint32_t batch) const;

    /** @return the smoothed time between tokens of late; zero while nothing is known. */
    Microseconds recent() const;

    /**
     * @param batch the size to judge.
     * @param target wanted time between tokens. An engine too slow for it at any size is held near its own best.
     * @return true when the engine is expected to keep the target at that size, or the size is a small step up.
     */
    bool allows(std::uint32_t batch, Milliseconds target) const;

    /** Forgets everything. */
    void reset() { *this = PaceModel(); }

private:
    double slope() const;
    double base() const;
    bool hasCollapsed(Instant now) const;

    double weight { 0 };
    double sumBatch { 0 };
    double sumGap { 0 };
    double sumBatchSquared { 0 };
    double sumProduct { 0 };
    /** In microseconds. */
    double recentGap { 0 };
    double largestBatch { 0 };
    std::uint32_t consecutiveSlow { 0 };
    /** Begin of the first of the slow gaps in a row. */
    std::optional<Instant> slowSince;
};

}
