#pragma once

#include "core/gateway/KeptCopies.h"
#include "core/gateway/OutputLengths.h"
#include "ports/GatewayConfiguration.h"
#include "ports/GatewayMessages.h"

#include <memory>
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
    /** Last event that the caller had when the last copy call was sent. */
    std::uint64_t calledAtEvent { 0 };
    /** Handle of the last copy at the target. */
    std::optional<KvCacheHandle> copy;
    /** Last event that the caller had when that copy was asked for. */
    std::uint64_t copiedAtEvent { 0 };
    /** The source was asked to stop the run, and did not state that it left the run alone. */
    bool mayBeStopped { false };
    /** When the source was last asked to stop the run; its target took requests then. */
    std::optional<Instant> stopCallAt;
    /** The source stated that it stopped the run. */
    bool isStopped { false };
    /** How the source's stream ended. All of its events were relayed to the caller. */
    std::optional<ExchangeEnd> streamEnd;
    /** Handle of the KV cache that the source kept when it stopped the run. */
    std::optional<KvCacheHandle> keptAtSource;
};

/** An engine at which a stopped run may resume. */
struct ResumptionPlace {
    EndpointId endpoint;
    ResumePoint point;
};

/** The way back of a stream whose run was stopped or whose engine ended, until an engine has accepted it. */
struct StoppedRun {
    /** @return the way back of a run whose engine ended. */
    static StoppedRun fromCopy(const KeptCopy& copy, std::uint64_t lastEventId)
    {
        StoppedRun run;
        run.target = { copy.endpoint, { copy.holder, copy.handle, lastEventId } };
        run.tries = 1;
        run.triedAt = copy.endpoint;
        run.isBroken = true;
        return run;
    }

    ResumptionPlace target;
    /** The engine that stopped the run; unset if it kept no KV cache. */
    std::optional<ResumptionPlace> source;
    /** When the source was asked to stop the run. */
    std::optional<Instant> stopCallAt;
    std::uint32_t tries { 0 };
    /** Engine of the last try. */
    std::optional<EndpointId> triedAt;
    /** The run was not stopped: its engine ended, and it goes on from one of the copies that it has. */
    bool isBroken { false };
    /** Engine that may have taken the run, so that it resumes at no other one. */
    std::optional<EndpointId> mayRunAt;
    /** The last try was refused as not run, so the engine has no copy that a later try could use. */
    bool wasRefused { false };
    /** When a run that waits after lost tries is tried again. */
    std::optional<Instant> nextTryAt;
};

/** A run whose connection was lost, while its engine may still work on it. */
struct UnstoppedRun {
    ExchangeId exchange;
    EndpointId endpoint;
    Address address;
    ZoneId zone;
    bool hasBegun { false };
    /** How its connection was lost. */
    ExchangeEnd end { ExchangeEnd::Broken };
    /** The engine was asked to stop the run. */
    bool wasAsked { false };
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
    /** What was known of the output length on arrival; empty at a service without engines. */
    LikelyLengths likelyOutput;
    /** Expected tokens of the prompt and the output together. */
    std::uint64_t tokens { 0 };
    /** Expected number of events of a stream. */
    std::uint64_t events { 0 };
    /** Number of events of a stream with the longest output that its caller allows. */
    std::uint64_t maxEvents { 0 };
    std::uint32_t attempts { 0 };
    /** The request shows how good the new version of a service is that is being rolled out. */
    bool triesNewVersion { false };
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
    /** Copies of earlier migrations, which were given up, and replicas of a run that ended. */
    KeptCopies keptCopies;
    std::optional<StoppedRun> stoppedRun;
    /** Unset once the run is known to have ended; until then, the stream goes on at no other engine. */
    std::optional<UnstoppedRun> unstoppedRun;
    /** Engines at which the run broke before it got past its start. */
    std::uint32_t brokenStarts { 0 };
    /** The run got past its start at an engine, so its prompt crashes none. */
    bool isPastStart { false };
    /** Its stream ended unframed soon after its start, so that nothing tells yet whether its endpoint crashed. */
    bool isEndUncertain { false };
    /** Migrations that failed in a row. */
    std::uint32_t failedMigrations { 0 };
    /** When the last migration failed. */
    Instant migrationFailedAt;
    /** Targets of the failed migrations, excluded for a short time. */
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
    /** The exchange's answer was counted for the roll-out of its service, or does not count. */
    bool isJudged { false };
    /** Start of the endpoint's incarnation to which the request was sent. */
    WallTime endpointStartedAt {};
};

inline bool isStream(const ActiveRequest& active) { return active.route->kind == RequestKind::Stream; }

inline bool isIdempotent(const ActiveRequest& active) { return active.route->kind == RequestKind::Idempotent; }

/** @return what the output length of a request depends on. */
inline OutputRequest outputRequestOf(const ActiveRequest& active)
{
    return { active.route->name, active.team.value_or(TeamId()), active.request.expectedOutputTokens,
        active.request.maxOutputTokens };
}

/** @return the time until the request's deadline. */
inline Milliseconds timeLeft(const ActiveRequest& active, Instant now)
{
    return std::chrono::duration_cast<Milliseconds>(active.deadline - now);
}

/** @return whether a request without an exchange in progress may have been executed. */
inline Executed executedStateOf(const ActiveRequest& active)
{
    return active.mayHaveRun ? Executed::Unknown : Executed::No;
}

}
