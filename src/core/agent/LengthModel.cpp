#include "core/agent/LengthModel.h"

#include <algorithm>

namespace teaselfold {

namespace {

    /** Prior: the model starts with one observation of each of these lengths. */
    constexpr std::array<std::uint32_t, 6> priorLengths { 16, 64, 128, 256, 512, 1024 };

}

LengthModel::LengthModel()
{
    for (LengthDistribution& distribution : this->distributions) {
        for (const std::uint32_t tokens : priorLengths)
            distribution.observe(tokens);
    }
}

void LengthModel::observe(PriorityClass priority, std::uint32_t tokens)
{
    this->distributions[static_cast<std::size_t>(priority)].observe(tokens);
}

std::uint32_t LengthModel::conditionalQuantile(
    PriorityClass priority, std::uint32_t generated, double quantile, std::uint32_t maxTokens) const
{
    const LengthDistribution& distribution = this->distributions[static_cast<std::size_t>(priority)];
    auto tokens = static_cast<std::uint32_t>(distribution.conditionalQuantile(generated, quantile));
    tokens = std::max(tokens, generated + 1);
    return maxTokens == 0 ? tokens : std::min(tokens, std::max(maxTokens, generated));
}

}
