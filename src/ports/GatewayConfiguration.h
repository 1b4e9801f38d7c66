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

/** Whether a request may be retried. */
enum class RequestKind : std::uint8_t {
    Idempotent,
    NonIdempotent,
    /** An event stream of a model engine; executed at most once, like NonIdempotent. */
    Stream,
};

/** A service to which a route may send requests, with its relative share of them. */
struct WeightedService {
    ServiceId service;
    double weight { 1 };
};

/** Routing rule for the requests to one host below one path prefix. */
struct GatewayRoute {
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string prefix;
    RequestKind kind { RequestKind::NonIdempotent };
    /** Maximum time from a request's arrival to the end of its response. */
    Milliseconds timeout { 0 };
    /** Latency objective for the response, or for the first event of a stream. */
    Milliseconds latencyObjective { 0 };
    /** Longest time between two events of a stream that is in time; zero if the route states none. */
    Milliseconds eventIntervalObjective { 0 };
    /** Zero is the most urgent. */
    std::uint32_t priority { 0 };
    std::vector<WeightedService> services;
    /** Maximum number of endpoints to which one request is sent, including the first. */
    std::uint32_t maxAttempts { 1 };
    /** True when the route requires no API key. */
    bool isPublic { false };
};

/** Capabilities of the model engines of a service. */
struct EngineCapabilities {
    /** KV-cache capacity of an engine: tokens of running requests and cached prefixes. */
    std::uint64_t kvCacheTokens { 0 };
    /** True when running requests can be migrated between the engines. */
    bool canMigrate { false };
    /** True when an engine can replicate a running request's KV cache to another engine. */
    bool canReplicate { false };
    /** Number of tokens in one event of a stream. */
    std::uint32_t tokensPerEvent { 1 };
};

/** A service and the capacity of its endpoints. */
struct GatewayService {
    ServiceId name;

    /** Rate that a cold endpoint can sustain, in requests per second. */
    double coldRequestsPerSecond { 0 };
    /** Unset when the service has no model engines. */
    std::optional<EngineCapabilities> engine;
};

/** Limits on callers' requests and connections. */
struct CallerBounds {
    std::size_t maxHeadBytes { 16384 };
    std::size_t maxBodyBytes { 4194304 };
    Milliseconds headTimeout { 3000 };
    Milliseconds idleTimeout { 15000 };
};

/** A team and its API keys. */
struct GatewayTeam {
    TeamId name;
    std::vector<std::string> keys;
    /** Overrides the route's priority. */
    std::optional<std::uint32_t> priority;
};

/** One version of the operators' configuration. Immutable after it is read. */
struct GatewayConfiguration {
    std::uint64_t version { 0 };
    std::vector<GatewayRoute> routes;
    std::vector<GatewayService> services;
    CallerBounds bounds;
    /** Unset when requests need no API key. */
    std::optional<std::vector<GatewayTeam>> teams;
};

/** Version of the software that an endpoint runs. */
using SoftwareVersion = Id<struct SoftwareVersionTag, std::string>;

/** An endpoint's registration in the platform's store. */
struct EndpointRecord {
    EndpointId id;
    ServiceId service;
    Address address;
    ZoneId zone;
    bool isDraining { false };
    /** Remaining warm-up time, counted from when the record was read. */
    Milliseconds coldRemaining { 0 };
    /** Number of requests that the endpoint can run at once. */
    std::uint32_t slots { 0 };
    /** Changes when the endpoint restarts under the same id. */
    WallTime startedAt;
    SoftwareVersion version {};

    bool operator==(const EndpointRecord&) const = default;
};

}
