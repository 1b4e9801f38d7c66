#pragma once

#include "ports/Time.h"

#include <optional>

namespace teaselfold {

/**
 * Estimates the requests of other gateways at an endpoint between its load reports. Those that a report counts end, and
 * others are sent; an older report therefore counts less, and the endpoint's mean more.
 */
class ExternalLoadEstimate {
public:
    /** @param requests those in the report that are not this gateway's. */
    void record(double requests, Instant now);
    /** @param maxAge time after which the single report counts little; the mean counts for longer. */
    double requests(Milliseconds maxAge, Instant now) const;

private:
    std::optional<double> last;
    Instant reportedAt;
    double mean { 0 };
};

}
