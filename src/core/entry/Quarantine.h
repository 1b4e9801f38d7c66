#pragma once

#include "core/entry/RouterLimits.h"
#include "ports/LinkMessages.h"

#include <unordered_map>

namespace teaselfold {

/** Remembers the requests that ran where an endpoint died, and refuses those that did so repeatedly. */
class Quarantine {
public:
    explicit Quarantine(const RouterLimits& limits);

    /** Counts a death at an endpoint where the request ran. One death told twice counts once. */
    void recordDeath(Fingerprint fingerprint, const EndpointId& endpoint, Instant now);
    /** The request completed, so it is innocent. @return true when it was a suspect. */
    bool clear(Fingerprint fingerprint);
    /** Takes over what a peer knows; the higher count holds, zero clears. @return true when anything changed. */
    bool merge(const EndpointId& source, const QuarantineDelivery& delivery, Instant now);
    /** @return true when the request ran where an endpoint died. */
    bool isSuspect(Fingerprint fingerprint, Instant now) const;
    /** @return time for which the request is refused; zero when it may run. */
    Milliseconds remainingQuarantine(Fingerprint fingerprint, Instant now) const;
    /** Forgets what is past its time. */
    void expire(Instant now);
    /** @return all suspects, for peers. */
    QuarantineDelivery delivery(Instant now) const;

private:
    struct Suspect {
        std::uint32_t deaths { 0 };
        Instant until;
        EndpointId lastEndpoint;
        Instant lastDeath;
    };

    RouterLimits limits;
    std::unordered_map<Fingerprint, Suspect> suspects;
};

}
