#pragma once

#include "ports/Time.h"

#include <cstdint>

namespace teaselfold {

/** A run of an engine that leaves, as far as its move is concerned. */
struct MovableRun {
    /** Tokens that would have to be read and produced again: the prompt and the output so far. */
    std::uint64_t investedTokens { 0 };
    std::uint64_t remainingTokens { 0 };
    /** Time until the run is expected to end where it is. */
    Duration remainingTime { 0 };
    /** Another engine has a copy, from which the run goes on if its engine ends. */
    bool hasCopy { false };
};

/**
 * @param timeLeft time for which the engine is expected to go on.
 * @return true if the run may not end before its engine does. Expected lengths are often far too short.
 */
bool needsMove(const MovableRun& run, Duration timeLeft);

/** @return true if the run is moved before the other one: runs without a copy first, then those that lose most. */
bool movesBefore(const MovableRun& run, const MovableRun& other);

}
