#include "core/common/LengthDistribution.h"

#include <algorithm>
#include <cmath>

namespace teaselfold {

namespace {

    constexpr unsigned lengthBins = 64;
    constexpr double minLength = 1;
    constexpr double maxLength = 131072;
    /** Total weight at which the weights of all observations are halved. */
    constexpr double decayThreshold = 2000;

}

const LengthDistribution::Axis& LengthDistribution::axis()
{
    static const Axis lengths(lengthBins, minLength, maxLength);
    return lengths;
}

LengthDistribution::LengthDistribution()
    : histogram(boost::histogram::make_histogram_with(boost::histogram::dense_storage<double>(), axis()))
{
}

void LengthDistribution::decay()
{
    if (this->weight < decayThreshold)
        return;
    this->histogram *= 0.5;
    this->weight *= 0.5;
}

void LengthDistribution::observe(std::uint64_t tokens)
{
    this->histogram(std::max(minLength, static_cast<double>(tokens)));
    this->weight += 1;
    this->decay();
}

void LengthDistribution::observeAtLeast(std::uint64_t tokens)
{
    const int first = std::clamp(axis().index(std::max(minLength, static_cast<double>(tokens))), 0, axis().size() - 1);
    double longer = 0;
    for (int bin = first; bin < axis().size(); ++bin)
        longer += this->histogram.at(bin);
    // Beyond all observations nothing tells how much longer it would have been.
    if (longer <= 0)
        return this->observe(tokens);
    for (int bin = first; bin < axis().size(); ++bin)
        this->histogram.at(bin) *= 1 + 1 / longer;
    this->weight += 1;
    this->decay();
}

double LengthDistribution::conditionalQuantile(std::uint64_t generated, double quantile) const
{
    const auto produced = static_cast<double>(generated);
    const int first = generated == 0 ? 0 : std::clamp(axis().index(produced + 1), 0, axis().size());
    double total = 0;
    for (int bin = first; bin < axis().size(); ++bin)
        total += this->histogram.at(bin);
    double cumulative = 0;
    for (int bin = first; total > 0 && bin < axis().size(); ++bin) {
        cumulative += this->histogram.at(bin);
        if (cumulative >= quantile * total)
            return std::min(axis().bin(bin).upper(), maxLength);
    }
    // Beyond all observations, the remaining length is assumed to equal the current one, as in a Pareto tail.
    return std::min(2 * produced + 1, maxLength);
}

std::size_t LengthDistribution::binCount() { return lengthBins; }

double LengthDistribution::lengthOf(std::size_t bin)
{
    const auto found = axis().bin(static_cast<int>(bin));
    return std::sqrt(found.lower() * found.upper());
}

}
