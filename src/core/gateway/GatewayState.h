#pragma once

#include "core/entry/Quarantine.h"
#include "core/entry/RetryBudget.h"
#include "core/gateway/CrashDetector.h"
#include "core/gateway/EndpointDirectory.h"
#include "core/gateway/PeerLoadTable.h"
#include "core/gateway/PromptPartQuarantine.h"
#include "core/gateway/ReaderRank.h"
#include "core/gateway/RouteTable.h"
#include "core/gateway/StoreFreshness.h"
#include "ports/Randomness.h"

#include <map>
#include <optional>
#include <set>

namespace teaselfold {

/** Progress of the live migration of a stream. */
enum class MigrationPhase : std::uint8_t {
    /** The KV cache is copied while the run continues; each call copies what the run added since the last one. */
    Copying,
    /** The run is stopped, and the rest of its KV cache is copied. */
    Finishing,
    /** No call is in progress. The stream resumes from the copy, if any, when the source's stream ends. */
    Done,
};

/** Live migration of one stream to another engine. */
struct StreamMigration {
    MigrationPhase phase { MigrationPhase::Copying };
    ExchangeId exchange;
    EndpointId source;
    Address sourceAddress;
    EndpointId target;
    Address targetAddress;
    /** When the last copy call was sent. */
    Instant lastCallAt;
    std::uint32_t callCount { 0 };
    /** Tokens reserved at the target. */
    std::uint64_t tokens { 0 };
    /** Handle of the last copy at the target. */
    std::optional<KvCacheHandle> copy;
    /** The source was asked to stop the run, and did not state that it left the run alone. */
    bool mayBeStopped { false };
    /** How the source's stream ended. All of its events were relayed to the caller. */
    std::optional<ExchangeEnd> streamEnd;
};

/** A request that waits for an endpoint or has an exchange in progress. */
struct ActiveRequest {
    GatewayRequest request;
    /** Owns the objects to which `route` and `service` point. */
    std::shared_ptr<const GatewayConfiguration> configuration;
    const GatewayRoute* route { nullptr };
    const GatewayService* service { nullptr };
    std::optional<TeamId> team;
    std::uint32_t priority { 0 };
    Instant arrivedAt;
    /** End of the caller's or the route's timeout, whichever is earlier. */
    Instant deadline;
    /** Expected tokens of the prompt and the output together. */
    std::uint64_t tokens { 0 };
    /** Expected number of events of a stream. */
    std::uint64_t events { 0 };
    std::uint32_t attempts { 0 };
    std::set<EndpointId> triedEndpoints;
    std::optional<ExchangeId> exchange;
    /** An endpoint may have started to process the request, so it must no longer be reported as not executed. */
    bool mayHaveRun { false };
    /** When the first event was relayed. */
    std::optional<Instant> firstEventAt;
    /** Longest time between two events of a stream. */
    Duration longestPause { 0 };
    /** Part of a response was sent to the caller. */
    bool responseStarted { false };
    std::uint64_t lastEventId { 0 };
    std::optional<Instant> lastEventAt;
    /** Engine that holds a replica of the run's KV cache. */
    std::optional<EndpointId> replicaEngine;
    std::optional<StreamMigration> migration;
    /** Engines at which the run broke before it got past its start. */
    std::uint32_t brokenStarts { 0 };
    /** The run got past its start at an engine, so its prompt crashes none. */
    bool isPastStart { false };
    std::uint32_t failedMigrations { 0 };
    /** Targets of the failed migrations, excluded until the stream resumes elsewhere. */
    std::set<EndpointId> failedTargets;
};

/** One attempt of a request at an endpoint. */
struct Exchange {
    RequestId request;
    EndpointId endpoint;
    Address address;
    ZoneId zone;
    std::uint64_t tokens { 0 };
    /** Tokens of the prompt until the first event; zero after it. */
    std::uint64_t promptTokens { 0 };
    /** Engine that holds a replica of the run's KV cache during the exchange. */
    std::optional<EndpointId> replicaEngine;
    /** Last event that was relayed to the caller. `lastEventAt` is the time of the relay. */
    std::uint64_t lastEventId { 0 };
    std::optional<Instant> lastEventAt;
    Instant startedAt;
    /** When this exchange's first event was relayed; earlier exchanges of a resumed stream do not count. */
    std::optional<Instant> firstEventAt;
    /** This exchange went on for a while after its first event; `ActiveRequest::isPastStart` holds for all of a run. */
    bool isPastStart { false };
};

/** State shared by the parts of a gateway's decision logic. */
struct GatewayState {
    GatewayState(const GatewayLimits& gatewayLimits, const RouterLimits& sharedLimits, const GatewayIdentity& identity,
        Randomness& random)
        : limits(gatewayLimits)
        , zone(identity.zone)
        , randomness(random)
        , freshness(this->limits)
        , endpoints(this->limits)
        , peers(this->limits, identity.instance)
        , quarantine(sharedLimits)
        , crashDetector(this->quarantine)
        , promptParts(sharedLimits)
        , sharedLimits(sharedLimits)
    {
    }

    GatewayState(const GatewayState&) = delete;
    GatewayState& operator=(const GatewayState&) = delete;

    /** @return the retry budget of a service, with its minimum set to this gateway's part of the shared headroom. */
    RetryBudget& retryBudgetOf(const ServiceId& service)
    {
        RetryBudget& budget = this->retryBudgets.try_emplace(service, this->sharedLimits).first->second;
        // A budget may be spent in full at the end of one window and again in the next one.
        constexpr double adjacentWindows = 2;
        budget.setMinRetries(this->limits.retryHeadroom * this->limits.sharedQuotaFraction / adjacentWindows
            / static_cast<double>(this->peers.gatewayCount()));
        return budget;
    }

    /** Referenced by members below, so a change of the settings assigns new values in place. */
    GatewayLimits limits;
    ZoneId zone;
    Randomness& randomness;
    StoreFreshness freshness;
    EndpointDirectory endpoints;
    PeerLoadTable peers;
    Quarantine quarantine;
    CrashDetector crashDetector;
    PromptPartQuarantine promptParts;
    RouterLimits sharedLimits;
    std::map<ServiceId, RetryBudget> retryBudgets;
    std::optional<RouteTable> routes;
    std::map<RequestId, ActiveRequest> requests;
    std::map<ExchangeId, Exchange> exchanges;
    /** Requests that wait for an endpoint, oldest first. */
    std::set<RequestId> waiting;
    std::uint64_t lastExchangeId { 0 };
    std::optional<Instant> stopRequestedAt;
    /** No request is accepted any more, and the process is about to exit. */
    bool isStopComplete { false };
};

}
