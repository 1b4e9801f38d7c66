#pragma once

#include "emulator/SeededRandomness.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace teaselfold {

/** One log-normal part of a mix of output lengths. */
struct LengthComponent {
    double share { 1 };
    double medianTokens { 100 };
    /** Standard deviation of the logarithm. */
    double sigma { 1 };
};

/** A mix of log-normal lengths: most answers are short, a few have tens of thousands of tokens. */
struct LengthMix {
    std::vector<LengthComponent> components { { 0.6, 40, 0.8 }, { 0.3, 300, 0.8 }, { 0.1, 2500, 1.0 } };
    std::uint32_t longestTokens { 32768 };
};

/** @return a length in tokens, at least 1. */
std::uint32_t drawLength(const LengthMix& mix, SeededRandomness& random);

/** @return N when the prompt contains `len=N`. */
std::optional<std::uint32_t> lengthFromPrompt(const std::string& prompt);

}
