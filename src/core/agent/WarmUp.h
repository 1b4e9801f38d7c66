#pragma once

#include "ports/Time.h"

#include <cstdint>
#include <optional>

namespace teaselfold {

/**
 * How much a cold endpoint may carry: little at first, more with finished work. In the first seconds quick work does
 * not raise it beyond a few, since short answers do not show that the engine is warm.
 */
class WarmUp {
public:
    /** Counts a finished generation. */
    void observeFinished(Instant now);

    /** Counts generated tokens, so that one long generation warms too. */
    void observeTokens(std::uint32_t tokens, Instant now);

    /** The endpoint may have lost its caches or its model. */
    void reset();

    /** @return true until enough work was finished. */
    bool cold() const;

    /** @return generations that may run at once; the greatest number when warm. */
    std::uint32_t concurrencyLimit() const;

private:
    void addCredit(std::uint32_t earned, Instant now);

    std::optional<Instant> firstWorkAt;
    std::uint32_t credit { 0 };
    std::uint32_t uncreditedTokens { 0 };
};

}
