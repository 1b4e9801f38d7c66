#pragma once

#include "ports/GatewayLimits.h"

#include <cstddef>
#include <optional>

namespace teaselfold {

/** How far a roll-out has got. Requests are those of all gateways. */
struct RolloutProgress {
    /** Time since the order. */
    Milliseconds elapsed { 0 };
    /** Time that the operator gave. */
    Milliseconds duration { 0 };
    double requests { 0 };
    double requestsToTarget { 0 };
};

/** The part of a service's requests that goes to the new version, and to which of its endpoints. */
struct ProbeWindow {
    double share { 0 };
    /** The endpoints are taken in an order on which all gateways agree, from this one on. */
    std::size_t firstEndpoint { 0 };
    std::size_t endpointCount { 0 };
};

/**
 * Plans a roll-out so that a new version that turns out to be bad at any moment has had no more than its part of all
 * requests until the deadline: while it is observed, it gets as much as leaves room for all requests in the time that
 * the last step takes.
 */
class RolloutPlan {
public:
    explicit RolloutPlan(const GatewayLimits& limits)
        : limits(limits)
    {
    }

    /** @return the latest time, since the order, at which all requests begin to go to the new version. */
    static Milliseconds shiftDue(Milliseconds duration);
    /** @return the same for a service with long streams, if the requests until the deadline fit into the budget. */
    static Milliseconds earliestShift(Milliseconds duration);
    /** @return the time at which the state `completed` is written if no request is left at previous versions. */
    static Milliseconds completionDue(Milliseconds duration);
    /** @return the time at which it is written in any case. */
    static Milliseconds latestCompletion(Milliseconds duration);
    /** @return the time at which a version of which too little is known is given up. */
    static Milliseconds decisionDue(Milliseconds duration);

    /** @return true if the new version may get all requests from now on, whatever it turns out to be. */
    bool hasRoomForShift(const RolloutProgress& progress) const;
    /** @return true if another request to the new version is within the budget of the requests so far. */
    bool hasRoomForProbe(const RolloutProgress& progress) const;
    /** @return the number of answers without which a version is not called sound. */
    static double minAnswers(const RolloutProgress& progress);
    /** @return the part of the requests that one of the endpoints gets when its version serves alone. */
    static double shareOfOne(std::size_t endpoints);
    /** @return the window in which a time lies; unset while the rate of the requests is not known. */
    static std::optional<std::size_t> windowIndex(const RolloutProgress& progress, Milliseconds windowTime);
    /**
     * Chooses few endpoints, so that each of them gets as much as it would alone with its version, for part of the time
     * if needed: some faults show under load only.
     * @param endpoints number of endpoints with the new version.
     * @param windowTime time for which the same endpoints are chosen, from the beginning of a window on.
     */
    ProbeWindow probeWindow(const RolloutProgress& progress, std::size_t endpoints, Milliseconds windowTime) const;

private:
    static double requestsPerSecond(const RolloutProgress& progress);
    static double expectedRequests(const RolloutProgress& progress);
    double budget(double requests) const;
    /** @return the requests that the new version may still get while it is observed. */
    double probesLeft(const RolloutProgress& progress) const;

    const GatewayLimits& limits;
};

}
