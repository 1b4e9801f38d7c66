#pragma once

#include "core/common/LengthDistribution.h"
#include "ports/Fleet.h"

#include <array>
#include <cstdint>

namespace teaselfold {

/** Learns the distribution of output lengths for each priority class. Older observations lose weight. */
class LengthModel {
public:
    LengthModel();

    /** Records the length of a finished generation. @param tokens its output length. */
    void observe(PriorityClass priority, std::uint32_t tokens);

    /**
     * Estimates a quantile of the output length, given that `generated` tokens exist already.
     * @param quantile between 0 and 1.
     * @param maxTokens the caller's limit; zero when there is none.
     * @return the length in tokens, at least `generated + 1` unless the limit is lower.
     */
    std::uint32_t conditionalQuantile(
        PriorityClass priority, std::uint32_t generated, double quantile, std::uint32_t maxTokens) const;

private:
    std::array<LengthDistribution, priorityClassCount> distributions;
};

}
