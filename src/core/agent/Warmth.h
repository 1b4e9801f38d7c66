#pragma once

#include "ports/Time.h"

#include <cstdint>
#include <optional>

namespace teaselfold {

/**
 * How much a cold endpoint may carry: little at first, more with finished work. In the first seconds quick work does
 * not raise it beyond a few, since short answers do not show that the engine is warm.
 */
class Warmth {
public:
    /** Counts a finished generation. */
    void finishedOne(Instant now);

    /** Counts generated tokens, so that one long generation warms too. */
    void generated(std::uint32_t tokens, Instant now);

    /** The endpoint may have lost its caches or its model. */
    void turnCold();

    /** @return true until enough work was finished. */
    bool cold() const;

    /** @return generations that may run at once; the greatest number when warm. */
    std::uint32_t allowance() const;

private:
    void add(std::uint32_t earned, Instant now);

    std::optional<Instant> firstWork;
    std::uint32_t credit { 0 };
    std::uint32_t looseTokens { 0 };
};

}
