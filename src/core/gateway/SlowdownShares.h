#pragma once

#include <array>
#include <cstddef>

namespace teaselfold {

/** How often the endpoints of a service recently stated which slowdown. */
class SlowdownShares {
public:
    /** Counts one statement. */
    void record(double slowdown);
    /** @return the share of the recent statements that are larger than the factor; zero if there are few. */
    double shareAbove(double factor) const;

private:
    static constexpr std::size_t binCount = 40;

    /** Decaying counts, by slowdown. The last bin counts all larger ones. */
    std::array<double, binCount> counts {};
    double total { 0 };
};

}
