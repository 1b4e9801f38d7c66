#pragma once

#include <cstdint>

namespace teaselfold {

/** How much a cold endpoint may carry: little at first, more with finished work. */
class Warmth {
public:
    /** Counts a finished generation. */
    void finishedOne();

    /** Counts generated tokens, so that one long generation warms too. */
    void generated(std::uint32_t tokens);

    /** The endpoint may have lost its caches or its model. */
    void turnCold();

    /** @return true until enough work was finished. */
    bool cold() const;

    /** @return generations that may run at once; the greatest number when warm. */
    std::uint32_t allowance() const;

private:
    std::uint32_t credit { 0 };
    std::uint32_t looseTokens { 0 };
};

}
