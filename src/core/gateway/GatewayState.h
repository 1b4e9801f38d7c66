#pragma once

#include "core/entry/Quarantine.h"
#include "core/entry/RetryBudget.h"
#include "core/gateway/CrashWatch.h"
#include "core/gateway/EndpointDirectory.h"
#include "core/gateway/PeerBoard.h"
#include "core/gateway/RouteTable.h"
#include "core/gateway/StoreFreshness.h"
#include "ports/Randomness.h"

#include <map>
#include <optional>
#include <set>

namespace teaselfold {

/** How far a running stream is handed over to another engine. */
enum class MovePhase : std::uint8_t {
    /** The memory is copied while the run goes on, each time only what is new. */
    Copying,
    /** The run is stopped and the rest of its memory copied. */
    Finishing,
    /** No call is under way; the copy, if there is one, is used when the stream ends. */
    Done,
};

/** The handing over of one running stream. */
struct RunMove {
    MovePhase phase { MovePhase::Copying };
    ExchangeId exchange;
    EndpointId source;
    Address sourceAddress;
    EndpointId target;
    Address targetAddress;
    /** When the newest call was sent, and how many there were. */
    Instant orderedAt;
    std::uint32_t calls { 0 };
    /** Tokens for which room is kept at the target. */
    std::uint64_t tokens { 0 };
    /** The newest copy at the target. */
    std::optional<KvCacheHandle> copy;
    /** The source's stream is over, so that the caller has all that came of it. */
    bool streamEnded { false };
};

/** One request that has no final answer yet. */
struct ActiveRequest {
    GatewayRequest request;
    /** Keeps the route alive. */
    std::shared_ptr<const GatewayConfiguration> configuration;
    const GatewayRoute* route { nullptr };
    const GatewayService* service { nullptr };
    std::optional<TeamId> team;
    std::uint32_t priority { 0 };
    Instant arrivedAt;
    /** The caller's patience or the route's timeout, whichever ends first. */
    Instant answerBy;
    /** Expected tokens of prompt and output together. */
    std::uint64_t tokens { 0 };
    /** Expected events of a stream. */
    std::uint64_t events { 0 };
    std::uint32_t attempts { 0 };
    std::set<EndpointId> tried;
    std::optional<ExchangeId> exchange;
    /** An endpoint may have begun to work on it: "not run" can never be said again. */
    bool mayHaveRun { false };
    /** When the first part of the answer came; nothing before. */
    std::optional<Instant> answeredAt;
    /** Longest time between two events of a stream. */
    Duration longestPause { 0 };
    /** Parts of an answer went to the caller. */
    bool isAnswering { false };
    std::uint64_t lastEventId { 0 };
    std::optional<Instant> newestEventAt;
    /** Engine that keeps a copy of the run's memory. */
    std::optional<EndpointId> replicaAt;
    std::optional<RunMove> move;
    /** Moves that came to nothing, and their targets. */
    std::uint32_t failedMoves { 0 };
    std::set<EndpointId> fullTargets;
};

/** One request at one endpoint. */
struct Exchange {
    RequestId request;
    EndpointId endpoint;
    Address address;
    ZoneId zone;
    std::uint64_t tokens { 0 };
    /** Tokens of the prompt while no event has come; zero from then on. */
    std::uint64_t promptTokens { 0 };
    /** Engine that keeps a copy of the run's memory while the exchange lasts. */
    std::optional<EndpointId> replicaAt;
    /** Newest event that went on, and when. */
    std::uint64_t lastEventId { 0 };
    std::optional<Instant> lastEventAt;
};

/** Which gateway this is. */
struct GatewayPlace {
    GatewayId instance;
    ZoneId zone;
};

/** What the parts of a gateway's decisions share. */
struct GatewayState {
    GatewayState(const GatewayLimits& gatewayLimits, const RouterLimits& sharedLimits, const GatewayPlace& place,
        Randomness& random)
        : limits(gatewayLimits)
        , zone(place.zone)
        , randomness(random)
        , freshness(this->limits)
        , endpoints(this->limits)
        , peers(this->limits, place.instance)
        , quarantine(sharedLimits)
        , crashes(this->quarantine)
        , sharedLimits(sharedLimits)
    {
    }

    GatewayState(const GatewayState&) = delete;
    GatewayState& operator=(const GatewayState&) = delete;

    /** @return the budget of a service's retries. */
    RetryBudget& retriesOf(const ServiceId& service)
    {
        RetryBudget& budget = this->retries.try_emplace(service, this->sharedLimits).first->second;
        // A budget may be spent in full at the end of one window and again in the next.
        constexpr double windows = 2;
        budget.setFloor(this->limits.retryHeadroom * this->limits.sharedQuotaFraction / windows
            / static_cast<double>(this->peers.instances()));
        return budget;
    }

    /** Shared by reference with the parts below; replaced when the settings change. */
    GatewayLimits limits;
    ZoneId zone;
    Randomness& randomness;
    StoreFreshness freshness;
    EndpointDirectory endpoints;
    PeerBoard peers;
    Quarantine quarantine;
    CrashWatch crashes;
    RouterLimits sharedLimits;
    std::map<ServiceId, RetryBudget> retries;
    std::optional<RouteTable> routes;
    std::map<RequestId, ActiveRequest> requests;
    std::map<ExchangeId, Exchange> exchanges;
    /** Requests that wait for an endpoint, the longest first. */
    std::set<RequestId> waiting;
    std::uint64_t lastExchange { 0 };
    std::optional<Instant> stopRequestedAt;
};

}
