#pragma once

#include "emulator/OutputLengths.h"
#include "ports/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace teaselfold {

/** Size, speed and habits of an emulated engine. */
struct EngineSettings {
    std::uint64_t seed { 1 };
    /** Divides the duration of each step. */
    double speed { 1 };
    std::uint64_t blocks { 4096 };
    std::uint32_t tokensPerBlock { 16 };
    /** Blocks that the prefix cache may hold. */
    std::uint64_t cacheBlocks { 512 };
    std::uint32_t maxBatch { 128 };
    std::uint32_t maxWaiting { 256 };
    /** Prompt tokens computed in one step. */
    std::uint32_t prefillChunk { 512 };
    Duration stepBase { Milliseconds(10) };
    Duration stepPerSequence { Microseconds(100) };
    Duration stepPerHeldToken { std::chrono::nanoseconds(60) };
    Duration stepPerPrefillToken { Microseconds(60) };
    /** Time from start until the engine is warm. */
    Duration coldFor { Seconds(0) };
    /** Factor on the duration of steps while cold. */
    double coldSlowdown { 4 };
    /** Generations in progress that a cold engine survives. */
    std::uint32_t coldBearable { 4 };
    Duration reportInterval { Milliseconds(200) };
    /** Probability that a batch of cache events is lost. */
    double cacheEventLoss { 0.02 };
    Duration modelLoadTime { Seconds(2) };
    bool checksFencing { true };
    std::vector<std::string> models { "drafter" };
    std::string role { "generate" };
    LengthMix lengths;
};

}
