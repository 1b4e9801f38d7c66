#include "core/agent/PaceModel.h"

#include <algorithm>
#include <cmath>

namespace teaselfold {

namespace {

    /** Factor by which the weight of past observations decays with each new one. */
    constexpr double retention = 0.999;
    constexpr double recentRetention = 0.95;
    constexpr double minWeight = 16;
    /** A gap longer than this multiple of the expected one counts as slow. */
    constexpr double collapseFactor = 5;
    constexpr std::uint32_t collapseCount = 48;
    /** A small batch yields few gaps, so a shorter run of slow gaps counts as a collapse too if it lasts this long. */
    constexpr std::uint32_t shortCollapseCount = 5;
    constexpr Milliseconds shortCollapseTime { 1500 };
    /** An engine that misses the target at batch size 1 may have gaps of up to this multiple of the gap at that size.
     */
    constexpr double slowEngineFactor = 1.5;
    /** Batch sizes up to this one are allowed without observations of similar sizes. */
    constexpr double maxUntestedBatch = 8;
    /** How far a batch may exceed the largest recent one. */
    constexpr double maxGrowthFactor = 1.25;
    constexpr double largestBatchRetention = 0.9999;

}

bool PaceModel::observe(std::uint32_t batch, Duration gap, Instant now)
{
    const double micros = std::chrono::duration<double, std::micro>(gap).count();
    const double size = batch;
    const auto expectedMicros = static_cast<double>(this->expected(batch).count());
    const bool slow = this->weight >= minWeight && expectedMicros > 0 && micros > collapseFactor * expectedMicros;
    this->consecutiveSlow = slow ? this->consecutiveSlow + 1 : 0;
    if (!slow)
        this->slowSince.reset();
    else if (!this->slowSince)
        this->slowSince = now - gap;
    this->recentGap
        = this->recentGap == 0 ? micros : recentRetention * this->recentGap + (1 - recentRetention) * micros;
    if (slow)
        return this->hasCollapsed(now);
    this->weight = retention * this->weight + 1;
    this->sumBatch = retention * this->sumBatch + size;
    this->sumGap = retention * this->sumGap + micros;
    this->sumBatchSquared = retention * this->sumBatchSquared + size * size;
    this->sumProduct = retention * this->sumProduct + size * micros;
    this->largestBatch = std::max(size, largestBatchRetention * this->largestBatch);
    return false;
}

bool PaceModel::hasCollapsed(Instant now) const
{
    const bool slowForLong = this->consecutiveSlow >= shortCollapseCount && now - *this->slowSince >= shortCollapseTime;
    return this->consecutiveSlow >= collapseCount || slowForLong;
}

double PaceModel::slope() const
{
    const double determinant = this->weight * this->sumBatchSquared - this->sumBatch * this->sumBatch;
    if (determinant <= 1e-6 * this->weight * this->weight)
        return 0;
    return std::max(0.0, (this->weight * this->sumProduct - this->sumBatch * this->sumGap) / determinant);
}

double PaceModel::base() const { return std::max(0.0, (this->sumGap - this->slope() * this->sumBatch) / this->weight); }

Microseconds PaceModel::expected(std::uint32_t batch) const
{
    if (this->weight < minWeight)
        return Microseconds(0);
    return Microseconds(std::llround(this->base() + this->slope() * batch));
}

Microseconds PaceModel::recent() const { return Microseconds(std::llround(this->recentGap)); }

bool PaceModel::allows(std::uint32_t batch, Milliseconds target) const
{
    if (this->weight < minWeight)
        return batch <= maxUntestedBatch;
    if (batch > std::max(maxUntestedBatch, maxGrowthFactor * this->largestBatch + 1))
        return false;
    const double targetMicros = std::chrono::duration<double, std::micro>(target).count();
    const double limitMicros
        = std::max(targetMicros, slowEngineFactor * static_cast<double>(this->expected(1).count()));
    return static_cast<double>(this->expected(batch).count()) <= limitMicros;
}

}
