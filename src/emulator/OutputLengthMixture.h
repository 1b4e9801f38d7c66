#pragma once

#include "emulator/SeededRandomness.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace teaselfold {

/** One log-normal component of an OutputLengthMixture. */
struct OutputLengthComponent {
    /** Weight of the component; the weights of a mixture add up to 1. */
    double share { 1 };
    double medianTokens { 100 };
    /** Standard deviation of the length's natural logarithm. */
    double sigma { 1 };
};

/** A mixture of log-normal distributions: most outputs are short, a few have tens of thousands of tokens. */
struct OutputLengthMixture {
    std::vector<OutputLengthComponent> components { { 0.6, 40, 0.8 }, { 0.3, 300, 0.8 }, { 0.1, 2500, 1.0 } };
    std::uint32_t maxLengthTokens { 32768 };
};

/** Samples the mixture. @return a length in tokens, from 1 to `maxLengthTokens`. */
std::uint32_t sampleOutputLength(const OutputLengthMixture& mixture, SeededRandomness& random);

/** @return N if the prompt contains `len=N` with N > 0, otherwise nothing. */
std::optional<std::uint32_t> outputLengthFromPrompt(const std::string& prompt);

}
