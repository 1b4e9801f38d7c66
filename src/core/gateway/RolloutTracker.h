#pragma once

#include "core/gateway/RolloutEndpoints.h"
#include "core/gateway/RolloutJudge.h"
#include "core/gateway/RolloutPeers.h"
#include "core/gateway/RolloutPlan.h"
#include "core/gateway/StoreFreshness.h"

#include <map>

namespace teaselfold {

/** Endpoints whose streams a roll-out moves. */
struct RolloutMoves {
    /** Endpoints that get no more requests and are about to be stopped. */
    std::vector<EndpointId> leaving;
    /** Endpoints that were about to be stopped, and stay. */
    std::vector<EndpointId> staying;
};

/**
 * Takes the roll-outs that operators order from their order to their end, and decides which versions of a service may
 * receive requests meanwhile and afterwards. Every gateway judges the new version from the answers to all gateways, and
 * stops sending to it on its own verdict or another gateway's. The state that the operator reads is written by one of
 * them under a condition on the version of its row, so that it is decided once.
 */
class RolloutTracker {
public:
    RolloutTracker(const GatewayLimits& limits, EndpointDirectory& endpoints, const PeerLoadTable& peers,
        const StoreFreshness& freshness, GatewayId self)
        : limits(limits)
        , directory(endpoints)
        , endpoints(endpoints)
        , peers(peers, self)
        , freshness(freshness)
        , self(std::move(self))
        , plan(limits)
    {
    }

    /** @return the service's last roll-out; null if none was ordered since this gateway started. */
    Rollout* find(const ServiceId& service);
    bool empty() const { return this->rollouts.empty(); }

    void ordersRead(const RolloutOrdersRead& event, Instant now, GatewayActions& actions);
    void rolloutsRead(const RolloutsRead& event, Instant now, GatewayActions& actions);
    void stored(const RolloutStored& event, Instant now, GatewayActions& actions);
    void storeFailed(const RolloutStoreFailed& event, Instant now, GatewayActions& actions);
    /** Merges what another gateway told. @param sender its name; unset if it is not known yet. */
    void merge(Incarnation incarnation, const std::optional<GatewayId>& sender,
        const std::vector<RolloutReport>& reports, Instant now, GatewayActions& actions);
    void tick(Instant now, GatewayActions& actions);
    /** Records that this process did not run for a while, in which others may have given up a version. */
    void recordSuspension(Instant now);
    /** @return what the other gateways are told. */
    std::vector<RolloutReport> reports(Instant now) const;
    /** @return the endpoints whose streams are to be moved, or no longer, since the last call. */
    RolloutMoves takeMoves() { return std::exchange(this->moves, {}); }

private:
    using PhaseStep = void (RolloutTracker::*)(Rollout&, Instant, GatewayActions&);
    using SignalStep = void (RolloutTracker::*)(Rollout&, Instant, GatewayActions&);
    /** What a gateway does while a roll-out is in a phase, and which versions get requests. */
    struct PhaseRules {
        PhaseStep step;
        bool allowsPrevious { false };
        bool allowsTarget { false };
        RolloutSignal signal;
        std::string_view name;
    };

    static const PhaseRules& rulesOf(RolloutPhase phase);
    static SignalStep stepOf(RolloutSignal signal);

    void stepLoading(Rollout& rollout, Instant now, GatewayActions& actions);
    void stepObserving(Rollout& rollout, Instant now, GatewayActions& actions);
    void stepShifting(Rollout& rollout, Instant now, GatewayActions& actions);
    void stepCondemned(Rollout& rollout, Instant now, GatewayActions& actions);
    void stepSettled(Rollout& rollout, Instant now, GatewayActions& actions);

    void heardInProgress(Rollout& rollout, Instant now, GatewayActions& actions);
    void heardCondemned(Rollout& rollout, Instant now, GatewayActions& actions);
    void heardReverted(Rollout& rollout, Instant now, GatewayActions& actions);
    void heardCompleted(Rollout& rollout, Instant now, GatewayActions& actions);

    /** Begins, continues or ends a roll-out as the store's record of its service says. */
    void load(Rollout& rollout, const StoredRollout* stored, StoreTime storeTime, Instant now, GatewayActions& actions);
    void adopt(Rollout& rollout, const StoredRollout& stored, Instant now, GatewayActions& actions);
    void settle(Rollout& rollout, RolloutState state, Instant now, GatewayActions& actions);
    void condemn(Rollout& rollout, const std::string& reason, Instant now, GatewayActions& actions,
        std::vector<LogField> details = {});
    void enter(
        Rollout& rollout, RolloutPhase phase, Instant now, GatewayActions& actions, std::vector<LogField> details = {});
    /** Tells the directory which versions may receive requests in the roll-out's phase. */
    void applyRule(const Rollout& rollout);
    /** Condemns a version whose answers show that it is bad. @return true if they do. */
    bool condemnIfBad(Rollout& rollout, const RolloutConfidence& confidence, Instant now, GatewayActions& actions);
    /** Writes a state if it is this gateway's turn. @param step time after which the gateway next in rank writes. */
    void write(Rollout& rollout, RolloutState state, Milliseconds step, Instant now, GatewayActions& actions);
    void readIfDue(Rollout& rollout, Milliseconds interval, Instant now, GatewayActions& actions);
    static RolloutProgress progressOf(const Rollout& rollout, Instant now);
    /** @return why the version cannot take all requests yet; empty if it can. */
    std::string shortcoming(const Rollout& rollout, Instant now) const;
    /** Chooses the endpoints that get probes now, and the part of the requests that is sent to them. */
    void chooseProbes(Rollout& rollout, Instant now) const;
    /** @return the time of the order on the store's clock, which must be known. */
    StoreTime orderTime(const Rollout& rollout) const;
    /** @return a part of a request, different for each gateway, so that they do not all send probes at once. */
    double initialCredit(const RolloutOrder& order) const;

    const GatewayLimits& limits;
    EndpointDirectory& directory;
    RolloutEndpoints endpoints;
    RolloutPeers peers;
    const StoreFreshness& freshness;
    GatewayId self;
    RolloutPlan plan;
    std::map<ServiceId, Rollout> rollouts;
    std::set<std::string> malformedOrders;
    /** The store's clock at a moment of the own one. */
    std::optional<std::pair<StoreTime, Instant>> storeClock;
    RolloutMoves moves;
};

/** @return the hash by which gateways refer to a roll-out. */
std::uint64_t rolloutHashOf(const RolloutOrder& order);

}
