#pragma once

#include "ports/GatewayLimits.h"
#include "ports/GatewayMessages.h"

#include <array>
#include <optional>

namespace teaselfold {

/** Knows how old the knowledge from each followed part of the store is, and whether the store is away. */
class StoreFreshness {
public:
    explicit StoreFreshness(const GatewayLimits& limits)
        : limits(limits)
    {
    }

    /** What was read holds as of the reading's start, since the store's answers are linearizable. */
    void answered(Followed part, Instant askedAt, Instant now);
    void failed(Followed part, Instant now);
    /** @return the age of what is known; nothing before the first reading. */
    std::optional<Duration> age(Followed part, Instant now) const;
    /** @return true when what is known is younger than the bound. */
    bool isFresh(Followed part, Milliseconds bound, Instant now) const;
    /** @return until when records that are missing may still come back after an outage; nothing without one. */
    std::optional<Instant> lapseGraceUntil(Followed part, Instant now) const;

private:
    struct Part {
        std::optional<Instant> asOf;
        std::optional<Instant> failingSince;
        std::optional<Instant> graceUntil;
    };

    Part& at(Followed part) { return this->parts[static_cast<std::size_t>(part)]; }
    const Part& at(Followed part) const { return this->parts[static_cast<std::size_t>(part)]; }

    const GatewayLimits& limits;
    std::array<Part, followedCount> parts;
};

}
