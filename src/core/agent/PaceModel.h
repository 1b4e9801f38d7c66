#pragma once

#include "ports/Time.h"

#include <cstdint>
#include <optional>

namespace teaselfold {

/**
 * Learns the time between tokens as a linear function of the batch size, `step = base + slope * batch`, by least
 * squares with exponential forgetting.
 */
class PaceModel {
public:
    /** Learns one gap between tokens. @param batch number of running generations. @return true when the pace collapsed.
     */
    bool observe(std::uint32_t batch, Duration gap, Instant now);

    /** @return the expected time between tokens at a batch size; zero before enough observations. */
    Microseconds expected(std::uint32_t batch) const;

    /** @return the smoothed recent time between tokens; zero before the first observation. */
    Microseconds recent() const;

    /**
     * @param batch the batch size to check.
     * @param target longest acceptable time between tokens. An engine that misses it even at batch size 1 may use a
     * fixed multiple of its own time at that size instead.
     * @return true when the engine is expected to meet the target at that size and the size exceeds the largest recent
     * one by at most a fixed factor; small sizes need no such observation.
     */
    bool allows(std::uint32_t batch, Milliseconds target) const;

    /** Discards all observations. */
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
    /** Start of the first gap in the current run of slow gaps. */
    std::optional<Instant> slowSince;
};

}
