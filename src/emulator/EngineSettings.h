#pragma once

#include "emulator/OutputLengthMixture.h"
#include "ports/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace teaselfold {

/** Capacity, speed and behaviour of an emulated engine. */
struct EngineSettings {
    std::uint64_t seed { 1 };
    /** Divides the duration of each step. */
    double speed { 1 };
    /** Memory size in blocks. */
    std::uint64_t blocks { 4096 };
    std::uint32_t tokensPerBlock { 16 };
    /** Capacity of the prefix cache in blocks. */
    std::uint64_t cacheBlocks { 512 };
    /** Maximum number of sequences in one step. */
    std::uint32_t maxBatch { 128 };
    /** Maximum number of queued generations; further ones are refused. */
    std::uint32_t maxWaiting { 256 };
    /** Tokens prefilled in one step, over all sequences. */
    std::uint32_t prefillChunkTokens { 512 };
    /** Constant term of a step's duration, to which the three terms below are added. */
    Duration stepBase { Milliseconds(10) };
    Duration stepPerSequence { Microseconds(100) };
    Duration stepPerContextToken { std::chrono::nanoseconds(60) };
    Duration stepPerPrefillToken { Microseconds(60) };
    /** Time from a start until the engine is warm. */
    Duration coldStartDuration { Seconds(0) };
    /** Factor on the duration of a step while the engine is cold. */
    double coldSlowdown { 4 };
    /** Running and queued generations above which a cold engine crashes. */
    std::uint32_t coldConcurrencyLimit { 4 };
    Duration reportInterval { Milliseconds(200) };
    double cacheEventLossProbability { 0.02 };
    Duration modelLoadTime { Seconds(2) };
    /** Whether orders with a stale fencing token are refused. */
    bool checksFencing { true };
    /** Models loaded at start, as `name` or `name@version`. */
    std::vector<std::string> models { "drafter" };
    std::string role { "generate" };
    OutputLengthMixture lengths;
};

}
