#pragma once

#include "core/entry/Quarantine.h"
#include "ports/Ids.h"
#include "ports/PeerMessages.h"
#include "ports/Time.h"

#include <map>
#include <vector>

namespace teaselfold {

/**
 * Finds the requests that were running at an endpoint when it crashed. A broken connection alone does not prove a
 * crash, because connections also break for other reasons. A crash is assumed when the endpoint then refuses
 * connections, of this gateway or of another.
 */
class CrashDetector {
public:
    explicit CrashDetector(Quarantine& quarantine)
        : quarantine(quarantine)
    {
    }

    /**
     * Records that the connection of a request broke while the endpoint processed it.
     * @return the number of requests that become suspects, because another gateway noticed the crash earlier.
     */
    std::size_t recordBrokenConnection(const EndpointId& endpoint, Fingerprint fingerprint, Instant now);
    /** @return true if the endpoint has refused a connection since a request's connection ended. */
    bool hasRefusedSince(const EndpointId& endpoint, Instant endedAt) const;
    /** Records that a connection could not be opened. @return the number of requests that become suspects. */
    std::size_t recordRefusedConnection(const EndpointId& endpoint, Instant now);
    /** Merges what another gateway recorded. @return the number of requests that become suspects. */
    std::size_t merge(const std::vector<RefusedConnection>& refusedConnections, Instant now);
    /** @return this gateway's recent refused connections, the newest first, for the other gateways. */
    std::vector<RefusedConnection> refusedConnections(Instant now) const;
    /** Discards broken connections of endpoints that did not refuse a connection in time. */
    void expire(Instant now);

private:
    struct BrokenConnection {
        EndpointId endpoint;
        Fingerprint fingerprint;
        Instant at;
    };
    struct Refusal {
        Instant at;
        bool isOwn { false };
    };
    /** Lower 32 bits of the hash of an endpoint's id. */
    using EndpointHash = std::uint32_t;

    std::size_t addRefusal(EndpointHash endpoint, Refusal refusal);

    Quarantine& quarantine;
    std::map<EndpointHash, std::vector<BrokenConnection>> brokenConnections;
    /** The last refusal of each endpoint. */
    std::map<EndpointHash, Refusal> refusals;
};

}
