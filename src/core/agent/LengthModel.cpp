#include "core/agent/LengthModel.h"

#include <algorithm>

namespace teaselfold {

namespace {

    constexpr unsigned lengthBins = 64;
    constexpr double minLength = 1;
    constexpr double maxLength = 131072;
    /** Total weight at which the weights of all observations are halved. */
    constexpr double decayThreshold = 2000;
    /** Prior: the model starts with one observation of each of these lengths. */
    constexpr std::array<std::uint32_t, 6> priorLengths { 16, 64, 128, 256, 512, 1024 };

}

LengthModel::LengthModel()
{
    for (std::size_t priority = 0; priority < priorityClassCount; ++priority) {
        this->histograms.push_back(boost::histogram::make_histogram_with(
            boost::histogram::dense_storage<double>(), Axis(lengthBins, minLength, maxLength)));
        for (const std::uint32_t tokens : priorLengths)
            this->observe(static_cast<PriorityClass>(priority), tokens);
    }
}

void LengthModel::observe(PriorityClass priority, std::uint32_t tokens)
{
    const auto index = static_cast<std::size_t>(priority);
    this->histograms[index](std::max(1.0, static_cast<double>(tokens)));
    this->weights[index] += 1;
    if (this->weights[index] < decayThreshold)
        return;
    this->histograms[index] *= 0.5;
    this->weights[index] *= 0.5;
}

std::uint32_t LengthModel::conditionalQuantile(
    PriorityClass priority, std::uint32_t generated, double quantile, std::uint32_t maxTokens) const
{
    const LengthHistogram& histogram = this->histograms[static_cast<std::size_t>(priority)];
    const Axis& axis = histogram.axis();
    const int first = generated == 0 ? 0 : std::clamp(axis.index(generated + 1.0), 0, axis.size());
    double total = 0;
    for (int bin = first; bin < axis.size(); ++bin)
        total += histogram.at(bin);
    // Beyond all observations, the remaining length is assumed to equal the current one, as in a Pareto tail.
    double length = 2.0 * generated + 1;
    double cumulative = 0;
    for (int bin = first; total > 0 && bin < axis.size(); ++bin) {
        cumulative += histogram.at(bin);
        if (cumulative < quantile * total)
            continue;
        length = axis.bin(bin).upper();
        break;
    }
    auto tokens = static_cast<std::uint32_t>(std::min(length, maxLength));
    tokens = std::max(tokens, generated + 1);
    return maxTokens == 0 ? tokens : std::min(tokens, std::max(maxTokens, generated));
}

}
