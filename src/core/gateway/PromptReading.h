#pragma once

namespace teaselfold {

/** Prefill time of one prompt token at an average engine: 14 tokens per millisecond. */
constexpr double secondsPerPromptToken = 1.0 / 14000;
/** Factor by which prefill takes longer when interleaved with the steps of running streams. */
constexpr double interleavedPrefillFactor = 2;

}
