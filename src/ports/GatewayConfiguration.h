#pragma once

#include "ports/Fleet.h"
#include "ports/Ids.h"
#include "ports/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace teaselfold {

/** What may be repeated of a request. */
enum class RequestKind : std::uint8_t {
    Idempotent,
    NonIdempotent,
    /** An event stream of a model engine; runs at most once, like NonIdempotent. */
    Stream,
};

/** One service that a route may choose, with its share of the route's requests. */
struct WeightedService {
    ServiceId service;
    double weight { 1 };
};

/** Requests of one host below one path prefix. */
struct GatewayRoute {
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string prefix;
    RequestKind kind { RequestKind::NonIdempotent };
    /** Longest time that a caller is kept waiting for its final answer. */
    Milliseconds timeout { 0 };
    /** Time within which the answer, or the first event of a stream, is on time. */
    Milliseconds latencyObjective { 0 };
    /** Zero is the most urgent. */
    std::uint32_t priority { 0 };
    std::vector<WeightedService> services;
    /** Endpoints to which one request may be sent, the first included. */
    std::uint32_t maxAttempts { 1 };
    /** Served without a key. */
    bool isPublic { false };
};

/** What is known of the model engines of a service. */
struct EngineCapabilities {
    /** Tokens of running requests and cached prefixes that fit into an engine's memory. */
    std::uint64_t kvCacheTokens { 0 };
    /** The engines hand running requests over to each other. */
    bool canMigrate { false };
    /** The engines keep a copy of a running request at another engine. */
    bool canReplicate { false };
    /** Tokens in one event of a stream. */
    std::uint32_t tokensPerEvent { 1 };
};

/** One service and what its endpoints bear. */
struct GatewayService {
    ServiceId name;

    /** Requests a second that a cold endpoint bears. */
    double coldRequestsPerSecond { 0 };
    std::optional<EngineCapabilities> engine;
};

/** Bounds on what callers send. */
struct CallerBounds {
    std::size_t maxHeadBytes { 16384 };
    std::size_t maxBodyBytes { 4194304 };
    Milliseconds headTimeout { 3000 };
    Milliseconds idleTimeout { 15000 };
};

/** A team and the keys that name it. */
struct GatewayTeam {
    TeamId name;
    std::vector<std::string> keys;
    /** Goes before the route's priority. */
    std::optional<std::uint32_t> priority;
};

/** One version of what operators configured. Immutable once it is read. */
struct GatewayConfiguration {
    std::uint64_t version { 0 };
    std::vector<GatewayRoute> routes;
    std::vector<GatewayService> services;
    CallerBounds bounds;
    /** Nothing when requests need no key. */
    std::optional<std::vector<GatewayTeam>> teams;
};

/** What an endpoint says of itself in the platform's store. */
struct EndpointRecord {
    EndpointId id;
    ServiceId service;
    Address address;
    ZoneId zone;
    bool isDraining { false };
    /** Time for which the endpoint stays cold, counted from when the record was read. */
    Milliseconds coldRemaining { 0 };
    std::uint32_t slots { 0 };
    /** Changes when an endpoint starts anew under its old id. */
    WallTime startedAt;
};

}
