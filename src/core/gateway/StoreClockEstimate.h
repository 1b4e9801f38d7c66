#pragma once

#include "ports/StoreReadings.h"

#include <optional>

namespace teaselfold {

/**
 * Maps times of the store's clock to this gateway's clock. The result is a lower bound: never later than the true time,
 * so that data never appears fresher than it is.
 */
class StoreClockEstimate {
public:
    /**
     * Learns from one call to the store.
     * @param startedAt when the call was sent. @param storeTime time of the store's clock in the response.
     * @param now when the response was received.
     */
    void observe(Instant startedAt, StoreTime storeTime, Instant now);
    /**
     * @param now upper limit of the result.
     * @return the latest local time that is certainly not after the store time; unset before the first call.
     */
    std::optional<Instant> toLocal(StoreTime time, Instant now) const;

private:
    /** A store time and a local time that is not after it. */
    struct Anchor {
        StoreTime storeTime;
        Instant localTime;
    };

    /** @return the local time for a store time, reduced by what the two clocks may have drifted since the anchor. */
    static Instant project(const Anchor& from, StoreTime time);

    std::optional<Anchor> anchor;
};

}
