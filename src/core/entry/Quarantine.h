#pragma once

#include "core/entry/RouterLimits.h"
#include "ports/LinkMessages.h"

#include <unordered_map>

namespace teaselfold {

/** Tracks requests that were running at an endpoint when it died, and refuses those with too many such deaths. */
class Quarantine {
public:
    explicit Quarantine(const RouterLimits& limits);

    /** Counts the death of an endpoint against a request that ran there. Two reports of one death count once. */
    void recordDeath(Fingerprint fingerprint, const EndpointId& endpoint, Instant now);
    /** Removes a request that completed or was released. @return true when it was a suspect. */
    bool clear(Fingerprint fingerprint);
    /**
     * Removes a request that completed, if it was a suspect. Peers that report it for a moment longer are ignored.
     * @return true when it was a suspect.
     */
    bool recordSurvival(Fingerprint fingerprint, Instant now);
    /** Merges a peer's suspects: keeps the higher death count; zero removes one. @return true when anything changed. */
    bool merge(const EndpointId& source, const QuarantineDelivery& delivery, Instant now);
    /** @return true when the request was running at an endpoint that died, and its quarantine time has not passed. */
    bool isSuspect(Fingerprint fingerprint, Instant now) const;
    /** @return the time for which the request will still be refused; zero when it may run. */
    Milliseconds remainingQuarantine(Fingerprint fingerprint, Instant now) const;
    /** Removes the suspects whose quarantine time has passed. */
    void expire(Instant now);
    /** @return all suspects, to be sent to peers. */
    QuarantineDelivery delivery(Instant now) const;
    /** @return up to `limit` suspects that peers may not know yet: own recent changes, then those that are refused. */
    QuarantineDelivery recentDelivery(Instant now, std::size_t limit) const;

private:
    struct Suspect {
        std::uint32_t deaths { 0 };
        Instant expiresAt;
        EndpointId lastEndpoint;
        Instant lastDeath;
        /** The last death was recorded here and not reported by a peer. */
        bool isOwn { false };
    };

    RouterLimits limits;
    std::unordered_map<Fingerprint, Suspect> suspects;
    /** When former suspects completed. */
    std::unordered_map<Fingerprint, Instant> survivals;
};

}
