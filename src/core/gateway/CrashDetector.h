#pragma once

#include "ports/GatewayMessages.h"
#include "ports/Ids.h"
#include "ports/PeerMessages.h"
#include "ports/Time.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace teaselfold {

/** The end of a run that may be due to a crash of its endpoint. */
struct EarlyEnd {
    EndpointId endpoint;
    Address address;
    /** Start of the endpoint's incarnation. */
    WallTime startedAt;
    Fingerprint fingerprint;
    std::vector<PromptPartId> promptParts;
    Instant at;
    /** The run may be complete: its stream ended with its connection, after a whole event. */
    bool mayBeComplete { false };
};

/**
 * Finds the runs that ended because their endpoint crashed. The end of a connection alone does not prove a crash,
 * because connections also break for other reasons. An endpoint that then refuses connections, of this gateway or of
 * another, or that runs as another incarnation, has crashed; one that accepts a connection or answers has not. Since
 * nobody else may call the endpoint, it is probed until it shows one or the other.
 */
class CrashDetector {
public:
    /** The ends about which there is no doubt any more. */
    struct Verdicts {
        std::vector<EarlyEnd> crashed;
        std::vector<EarlyEnd> survived;
    };

    void add(EarlyEnd end);
    /** Records that an endpoint refused a connection. */
    void recordRefusedConnection(const EndpointId& endpoint, Instant now);
    /** Records that an endpoint answered a request or accepted a connection. @param sentAt when that was sent. */
    void recordAnswer(const EndpointId& endpoint, Instant sentAt);
    /** Merges what another gateway recorded. */
    void merge(const std::vector<RefusedConnection>& refusedConnections, Instant now);
    /** @return this gateway's recent refused connections, the newest first, for the other gateways. */
    std::vector<RefusedConnection> refusedConnections(Instant now) const;
    /** @return the endpoints that are to be probed now. Each is returned again while it shows nothing. */
    std::vector<ProbeEndpoint> takeDueProbes(Instant now);
    /** Records the result of a probe. */
    void recordProbe(const EndpointId& endpoint, ProbeOutcome outcome, Instant now);
    /**
     * @param isReplaced tells whether an endpoint runs as another incarnation than at the end of a run.
     * @return the ends that are certain now. They, and those that stay uncertain for too long, are forgotten.
     */
    Verdicts weigh(const std::function<bool(const EarlyEnd& end)>& isReplaced, Instant now);
    /** Discards outdated observations. */
    void expire(Instant now);

private:
    struct Refusal {
        Instant at;
        bool isOwn { false };
    };
    struct Probe {
        Instant dueAt;
        /** When it was last sent. */
        std::optional<Instant> sentAt;
    };
    /** Lower 32 bits of the hash of an endpoint's id. */
    using EndpointHash = std::uint32_t;

    void addRefusal(EndpointHash endpoint, Refusal refusal);
    bool hasRefusedSince(const EarlyEnd& end) const;
    bool hasAnsweredSince(const EarlyEnd& end) const;
    /** @return an end that waits for a sign of its endpoint; null if there is none. */
    const EarlyEnd* findEnd(const EndpointId& endpoint) const;

    std::vector<EarlyEnd> ends;
    /** The last refusal of each endpoint. */
    std::map<EndpointHash, Refusal> refusals;
    /** When the last request or connection was sent that each endpoint answered. */
    std::map<EndpointId, Instant> answers;
    std::map<EndpointId, Probe> probes;
};

}
