#include "core/gateway/SlowdownShares.h"

#include <algorithm>

namespace teaselfold {

namespace {

    constexpr double binWidth = 0.1;
    /** Slowdown at which the first bin begins. */
    constexpr double lowest = 0.5;
    /** Factor by which all counts shrink with each statement; the memory then is some hundred statements. */
    constexpr double decay = 0.997;
    /** Statements that tell what is usual. */
    constexpr double minStatements = 8;

}

void SlowdownShares::record(double slowdown)
{
    for (double& count : this->counts)
        count *= decay;
    this->total = this->total * decay + 1;
    const double bin = std::clamp((slowdown - lowest) / binWidth, 0.0, static_cast<double>(binCount - 1));
    this->counts[static_cast<std::size_t>(bin)] += 1;
}

double SlowdownShares::shareAbove(double factor) const
{
    if (this->total < minStatements)
        return 0;
    double above = 0;
    for (std::size_t bin = 0; bin < binCount; ++bin) {
        // Statements are taken as spread evenly over their bin.
        const double binEnd = lowest + static_cast<double>(bin + 1) * binWidth;
        above += this->counts[bin] * std::clamp((binEnd - factor) / binWidth, 0.0, 1.0);
    }
    return above / this->total;
}

}
