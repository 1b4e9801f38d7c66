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
     * @param readStartedAt start of the read. The data is at least as new as this, since reads of the store are
     * linearizable.
     */
    void recordSuccess(StoreSection section, Instant readStartedAt, Instant now);
    void recordFailure(StoreSection section, Instant now);
    /** @return the age of the data; empty before the first read. */
    std::optional<Duration> age(StoreSection section, Instant now) const;
    /** @return true if the data is younger than the bound. */
    bool isFresh(StoreSection section, Milliseconds bound, Instant now) const;
    /**
     * @return the end of the grace period after an outage, during which lapsed records may be written again; empty
     * outside of one.
     */
    std::optional<Instant> lapseGraceUntil(StoreSection section, Instant now) const;

private:
    struct PartState {
        /** The data is at least as new as this. */
        std::optional<Instant> asOf;
        std::optional<Instant> failingSince;
        std::optional<Instant> graceUntil;
    };

    PartState& stateOf(StoreSection section) { return this->parts[static_cast<std::size_t>(section)]; }
    const PartState& stateOf(StoreSection section) const { return this->parts[static_cast<std::size_t>(section)]; }

    const GatewayLimits& limits;
    std::array<PartState, storeSectionCount> parts;
};

}
