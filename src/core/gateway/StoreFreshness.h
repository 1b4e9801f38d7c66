#pragma once

#include "ports/GatewayLimits.h"
#include "ports/GatewayMessages.h"

#include <array>
#include <optional>

namespace teaselfold {

/** Tracks the age of the data read from each section of the store, and outages of the store. */
class StoreFreshness {
public:
    explicit StoreFreshness(const GatewayLimits& limits)
        : limits(limits)
    {
    }

    /**
     * Records that the data of a section is known as of some time, by a read of this gateway or by another gateway's
     * announcement. Ignored if newer data is known.
     * @param asOf the data is at least as new as this, since reads of the store are linearizable.
     */
    void recordReading(StoreSection section, Instant asOf, Instant now);
    /** Records a time in which this process did not run: its data grew older, but the store had no outage. */
    void recordSuspension(Instant beganAt, Instant endedAt) { this->lastSuspension = { beganAt, endedAt }; }
    /** @return the age of the data; unset before the first read. */
    std::optional<Duration> age(StoreSection section, Instant now) const;
    /** @return true if the data is younger than the bound. */
    bool isFresh(StoreSection section, Milliseconds bound, Instant now) const;
    /**
     * @return the end of the grace period after an outage, during which endpoints re-register expired records; unset
     * outside such a period. Only this gateway's own readings count: what another gateway could not reach may have been
     * available to this one and to the endpoints.
     */
    std::optional<Instant> reregistrationGraceEnd(StoreSection section, Instant now) const;

private:
    struct Interval {
        Instant beganAt;
        Instant endedAt;
    };

    struct SectionState {
        /** The data is at least as new as this. */
        std::optional<Instant> asOf;
        std::optional<Interval> lastOutage;
    };

    /** @return true if the time from the last reading to the next one is an outage. */
    bool isOutage(const SectionState& state, Instant nextReadingAt) const;

    SectionState& stateOf(StoreSection section) { return this->sections[static_cast<std::size_t>(section)]; }
    const SectionState& stateOf(StoreSection section) const
    {
        return this->sections[static_cast<std::size_t>(section)];
    }

    const GatewayLimits& limits;
    std::array<SectionState, storeSectionCount> sections;
    Interval lastSuspension;
};

}
