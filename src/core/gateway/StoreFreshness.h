#pragma once

#include "ports/GatewayLimits.h"
#include "ports/GatewayMessages.h"

#include <array>
#include <optional>

namespace teaselfold {

/** Tracks the age of the data read from each followed part of the store, and outages of the store. */
class StoreFreshness {
public:
    explicit StoreFreshness(const GatewayLimits& limits)
        : limits(limits)
    {
    }

    /**
     * Records a successful read.
     * @param askedAt start of the read. The data is at least as new as this, since reads of the store are linearizable.
     */
    void recordSuccess(Followed part, Instant askedAt, Instant now);
    void recordFailure(Followed part, Instant now);
    /** @return the age of the data; empty before the first read. */
    std::optional<Duration> age(Followed part, Instant now) const;
    /** @return true if the data is younger than the bound. */
    bool isFresh(Followed part, Milliseconds bound, Instant now) const;
    /**
     * @return the end of the grace period after an outage, during which lapsed records may be written again; empty
     * outside of one.
     */
    std::optional<Instant> lapseGraceUntil(Followed part, Instant now) const;

private:
    struct PartState {
        /** The data is at least as new as this. */
        std::optional<Instant> asOf;
        std::optional<Instant> failingSince;
        std::optional<Instant> graceUntil;
    };

    PartState& stateOf(Followed part) { return this->parts[static_cast<std::size_t>(part)]; }
    const PartState& stateOf(Followed part) const { return this->parts[static_cast<std::size_t>(part)]; }

    const GatewayLimits& limits;
    std::array<PartState, followedCount> parts;
};

}
