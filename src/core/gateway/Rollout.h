#pragma once

#include "core/gateway/RolloutEvidence.h"
#include "core/gateway/RolloutPlan.h"
#include "ports/Rollouts.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace teaselfold {

/** How far a roll-out has got at this gateway. */
enum class RolloutPhase : std::uint8_t {
    /** The store's record of the service's last roll-out is not known yet. */
    Loading,
    /** The new version gets a small part of the requests. */
    Observing,
    /** The new version gets all requests, and those at the previous versions end. */
    Shifting,
    /** The new version gets no more requests; the store has yet to be told. */
    Condemned,
    Reverted,
    Completed,
};
constexpr std::size_t rolloutPhaseCount = 6;

/** State of the roll-out of one service. */
struct Rollout {
    RolloutOrder order;
    RolloutPhase phase { RolloutPhase::Loading };
    /** When the order was first read by any gateway, as far as this one knows. */
    Instant orderedAt;
    /** Versions that served the requests before; empty if all endpoints have the new version. */
    std::vector<SoftwareVersion> previous;
    /** Version of the record's row in the store; zero without a row. */
    StoreVersion rowVersion;
    /** The store holds this roll-out's record. */
    bool isRecorded { false };
    RolloutEvidence evidence;
    /** Part of a request to the new version that is due; a request is sent when it reaches one. */
    double probeCredit { 0 };
    /** The new version gets nothing until then, or until another gateway has told how far the roll-out is. */
    Instant heldUntil;
    /** Hashes of the new version's endpoints that get no more probes. */
    std::set<std::uint32_t> suspects;
    /** Number of requests to the new version up to which probes go on, since an endpoint became suspect. */
    double confirmUntil { 0 };
    /** The present window, which is planned when it begins. */
    std::optional<std::size_t> windowIndex;
    ProbeWindow window;
    /** Endpoints that get probes now, and the part of the requests that is sent to them. */
    std::set<EndpointId> probes;
    double probeShare { 0 };
    /** The service has streams, which may take long to end. */
    bool hasStreams { false };
    /** The store holds the record of a later order of the service. */
    bool isSuperseded { false };
    Instant nextJudgedAt;
    /** When the state that is to be written was decided. */
    Instant decidedAt;
    /** When the store held a final state. */
    Instant settledAt;
    Instant nextReadAt;
    Instant nextWriteAt;

    Milliseconds elapsed(Instant now) const
    {
        return std::chrono::duration_cast<Milliseconds>(std::max(now - this->orderedAt, Duration(0)));
    }
    bool isSettled() const { return this->phase == RolloutPhase::Reverted || this->phase == RolloutPhase::Completed; }
};

}
