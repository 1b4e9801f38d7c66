#pragma once

#include "ports/Time.h"

#include <cstdint>
#include <optional>

namespace teaselfold {

/**
 * Slow start of a cold endpoint: the concurrency limit is low at first and rises with finished work. In the first
 * seconds of work it stays low, since short answers do not show that the engine is warm.
 */
class WarmUp {
public:
    /** Counts a finished generation. */
    void observeFinished(Instant now);

    /** Counts generated tokens, so that a single long generation also warms the endpoint up. */
    void observeTokens(std::uint32_t tokens, Instant now);

    /** Starts over, since the endpoint may have lost its caches or its model. */
    void reset();

    /** @return true until enough work has finished. */
    bool isCold() const;

    /** @return number of generations that may run at once; the largest representable number when warm. */
    std::uint32_t concurrencyLimit() const;

private:
    void addCredit(std::uint32_t earned, Instant now);

    std::optional<Instant> firstWorkAt;
    std::uint32_t credit { 0 };
    std::uint32_t uncreditedTokens { 0 };
};

}
