#include "emulator/load/Distribution.h"

#include <cmath>

namespace teaselfold {

namespace {

    constexpr double lowestSeconds = 1e-5;
    constexpr double highestSeconds = 3600;
    constexpr unsigned binCount = 400;

}

Distribution::Distribution()
    : histogram(boost::histogram::make_histogram_with(
        boost::histogram::dense_storage<std::uint64_t>(), Axis(binCount, lowestSeconds, highestSeconds)))
{
}

void Distribution::add(Duration value)
{
    this->histogram(std::chrono::duration<double>(value).count());
    ++this->total;
}

void Distribution::merge(const Distribution& other)
{
    this->histogram += other.histogram;
    this->total += other.total;
}

Duration Distribution::quantile(double probability) const
{
    const auto rank = static_cast<std::uint64_t>(std::ceil(probability * static_cast<double>(this->total)));
    std::uint64_t seen = this->histogram.at(-1);
    if (rank <= seen)
        return Duration(0);
    for (int bin = 0; bin < static_cast<int>(binCount); ++bin) {
        seen += this->histogram.at(bin);
        if (rank <= seen)
            return std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(this->histogram.axis().bin(bin).upper()));
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(highestSeconds));
}

}
