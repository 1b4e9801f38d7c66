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
    void answered(StoreSection section, Instant readStartedAt, Instant now);
    void failed(StoreSection section, Instant now);
    /** @return the age of what is known; nothing before the first reading. */
    std::optional<Duration> age(StoreSection section, Instant now) const;
    /** @return true when what is known is younger than the bound. */
    bool isFresh(StoreSection section, Milliseconds bound, Instant now) const;
    /** @return until when records that are missing may still come back after an outage; nothing without one. */
    std::optional<Instant> lapseGraceUntil(StoreSection section, Instant now) const;

private:
    struct Part {
        std::optional<Instant> asOf;
        std::optional<Instant> failingSince;
        std::optional<Instant> graceUntil;
    };

    Part& at(StoreSection section) { return this->parts[static_cast<std::size_t>(section)]; }
    const Part& at(StoreSection section) const { return this->parts[static_cast<std::size_t>(section)]; }

    const GatewayLimits& limits;
    std::array<Part, storeSectionCount> parts;
};

}
