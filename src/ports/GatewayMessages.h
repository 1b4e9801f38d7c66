#pragma once

#include "ports/GatewayConfiguration.h"
#include "ports/GatewayLimits.h"
#include "ports/Outcome.h"
#include "ports/PeerInterfaces.h"
#include "ports/Rollouts.h"
#include "ports/Telemetry.h"

#include <memory>
#include <variant>

namespace teaselfold {

/** Identifies one attempt to send a request to one endpoint. Unique within a process. */
using ExchangeId = Id<struct ExchangeTag, std::uint64_t>;
/** Identifies a copy of a running request's KV cache at an engine. */
using KvCacheHandle = Id<struct KvCacheHandleTag, std::string>;

/** A caller's request without its body. */
struct GatewayRequest {
    RequestId id;
    /** The caller's id of this request; empty when the caller sent none. */
    std::string callerRequestId;
    std::string method;
    std::string host;
    /** Path without the query. */
    std::string path;
    /** API key. */
    std::string key;
    /** Time that the caller will wait, counted from the request's arrival; unset when the caller sent none. */
    std::optional<Milliseconds> callerTimeout;
    std::uint64_t promptTokens { 0 };
    std::uint64_t maxOutputTokens { 0 };
    /** The caller's estimate of the output length; zero when the caller sent none. */
    std::uint64_t expectedOutputTokens { 0 };
    Fingerprint fingerprint;
    /** Parts of the prompt that other requests may share, in order. */
    std::vector<PromptPartId> sharedPromptParts;
};

/** A complete request was received. */
struct RequestArrived {
    GatewayRequest request;
};

/** The caller's connection ended before the response was complete. */
struct RequestAbandoned {
    RequestId request;
    /** How the connection ended, for logs: the caller closed it, or reading or writing failed. */
    std::string reason {};
};

/** The last part of a response was not written before its connection or the process ended. */
struct ResponseLost {
    /** The caller's id of the request. */
    std::string callerRequestId;
    /** How the connection ended, for logs. */
    std::string reason;
    std::size_t unsentBytes { 0 };
};

/** A request was refused before it was received whole. */
struct RequestUnreadable {
    /** The caller's id of the request; empty if its head was not received whole. */
    std::string callerRequestId;
    /** HTTP status of the response. */
    std::uint16_t status { 0 };
    std::string reason;
};

/** A caller's connection was closed, or its request refused, because the process ran short of what it can spare. */
struct CallerShed {
    /** What ran short: "memory" or "connections"; "unread" when the caller took nothing of its answer. */
    std::string reason;
    /** Bytes that were held for the connection. */
    std::size_t heldBytes { 0 };
    /** Bytes of answers that the caller had not taken. */
    std::size_t unsentBytes { 0 };
};

/** A response was given up because all responses together buffered more than the process can spare. */
struct ResponseShed {
    EndpointId endpoint;
    /** Bytes that were buffered of all responses. */
    std::size_t heldBytes { 0 };
};

/** Load that an endpoint reports along with a response. */
struct ReportedLoad {
    std::uint32_t running { 0 };
    std::uint32_t waiting { 0 };
    std::uint32_t slots { 0 };
    /** Factor by which work takes longer than usual at the endpoint now; unset if it states none. */
    std::optional<double> slowdown {};
};

/** What an endpoint states in a response of the request rate that it takes from all gateways together. */
struct RateLimitStatement {
    /** Unset when it states no limit. */
    std::optional<double> requestsPerSecond;
};

/** Summary of a response's head. */
struct ResponseSummary {
    std::uint16_t status { 0 };
    /** The endpoint guarantees that the request was not executed and never will be. */
    bool notExecuted { false };
    /** The address now belongs to another endpoint; the request never reached the intended one. */
    bool isMisdirected { false };
    /** The response carries the endpoint's signature, so the endpoint itself produced it. */
    bool isSigned { false };
    bool isStream { false };
    /** The endpoint announces that it leaves and wants no further requests. */
    bool isLeaving { false };
    /** Time for which the endpoint wants no further requests of this gateway; zero when it states none. */
    Milliseconds restTime { 0 };
    /** Unset when what the endpoint states cannot be read. */
    std::optional<RateLimitStatement> rateLimit { RateLimitStatement {} };
    std::optional<ReportedLoad> load;
};

/** The head of a stream, or any other response in full, was received. */
struct ResponseReceived {
    ExchangeId exchange;
    ResponseSummary response;
};

/** How an exchange ended. */
enum class ExchangeEnd : std::uint8_t {
    Complete,
    /**
     * The endpoint closed the connection of a stream after a whole event, and nothing else marks the stream's end. It
     * is the end unless the run was stopped; CompleteResponse then completes the caller's response.
     */
    Closed,
    /** No connection came about in time, so nothing was sent. */
    NotConnected,
    /** The endpoint refused the connection, so nothing was sent. No process listens at its address. */
    Refused,
    /** The endpoint ended or reset the connection. It may still work on the request. */
    Broken,
    /** The gateway closed the connection, since it got no valid response. The endpoint may still work on the request.
     */
    Spoiled,
};

/** @return true if nothing was sent, since there was no connection. */
inline bool isUnsent(ExchangeEnd end) { return end == ExchangeEnd::NotConnected || end == ExchangeEnd::Refused; }

/** Last event of an exchange. Follows ResponseReceived when there was a response. */
struct ExchangeEnded {
    ExchangeId exchange;
    ExchangeEnd end { ExchangeEnd::Broken };
};

/** Events of a stream were relayed to the caller. */
struct EventsRelayed {
    ExchangeId exchange;
    /** Identifier of the last event that was relayed. */
    std::uint64_t lastEventId { 0 };
};

/** Result of a request to migrate a running request to another engine. */
enum class MigrationOutcome : std::uint8_t {
    Copied,
    /** The source engine does not run the request. */
    NoSuchRun,
    InProgress,
    /**
     * The target engine has too little free memory. An engine that stopped the run gives the handle of what it keeps;
     * without one, it may have refused the call.
     */
    NoRoom,
    Failed,
    /** No connection to the source engine could be established. */
    Unreachable,
};

/** An engine responded to a StartMigration, or the call failed. */
struct MigrationResponseReceived {
    ExchangeId exchange;
    MigrationOutcome outcome { MigrationOutcome::Failed };
    KvCacheHandle handle;
    /** The source engine announces that it leaves and wants no further requests. */
    bool isLeaving { false };
    /** Time for which the source engine wants no further requests of this gateway; zero when it states none. */
    Milliseconds restTime { 0 };
    /** Unset when the source engine states no limit or none that can be read. */
    std::optional<RateLimitStatement> rateLimit {};
};

/** How an endpoint reacted to a probe. */
enum class ProbeOutcome : std::uint8_t {
    /** It accepted the connection. */
    Accepted,
    /** It refused the connection, so no process listens at its address. */
    Refused,
    /** No connection came about in time, or there was no socket for one. */
    Unreachable,
};

/** A probe of an endpoint ended. */
struct EndpointProbed {
    EndpointId endpoint;
    ProbeOutcome outcome { ProbeOutcome::Unreachable };
};

/** The configuration was read. Ignored if it is not newer than the current one. */
struct ConfigurationRead {
    std::shared_ptr<const GatewayConfiguration> configuration;
};

/** The complete list of endpoints was read. */
struct EndpointsListed {
    std::vector<EndpointRecord> endpoints;
};

/** The complete list of zones out of service was read. */
struct OutOfServiceZonesRead {
    std::set<ZoneId> zones;
};

/** The complete list of gateways was read from the store. */
struct MembersListed {
    std::vector<GatewayMember> members;
};

/** A gossip message was received from another gateway. */
struct GossipReceived {
    GossipMessage gossip;
};

/** Another gateway announced what it read from the store. */
struct StoreReadingReceived {
    StoreReading reading;
};

/** Settings that can be applied at run time changed. */
struct LimitsChanged {
    GatewayLimits limits;
};

/** Asks the gateway to drain, after which the process exits. */
struct GatewayStopRequested {
    /** When the process got the stop signal. */
    Instant signalledAt;
};

using GatewayEvent = std::variant<RequestArrived, RequestAbandoned, ResponseLost, RequestUnreadable, CallerShed,
    ResponseShed, ResponseReceived, ExchangeEnded, EventsRelayed, MigrationResponseReceived, ConfigurationRead,
    EndpointsListed, EndpointsChanged, OutOfServiceZonesRead, StoreRestored, StoreReadSucceeded, StoreReadFailed,
    MembersListed, GossipReceived, StoreReadingReceived, LimitsChanged, GatewayStopRequested, RolloutOrdersRead,
    RolloutsRead, RolloutStored, RolloutStoreFailed, EndpointProbed>;

/** Point at which an endpoint resumes a stream that another endpoint started. */
struct ResumePoint {
    /** Address that belongs to the handle: that of the engine that made it for a migration, or that holds a replica. */
    Address holder;
    KvCacheHandle handle;
    /** Identifier of the last event that the caller received. */
    std::uint64_t lastEventId { 0 };
};

/** Parameters of an exchange: its endpoint, and what is sent to it along with the request. */
struct ExchangeParameters {
    ExchangeId exchange;
    RequestId request;
    EndpointId endpoint;
    Address address;
    /** Time left until the endpoint must have responded. */
    Milliseconds timeLeft { 0 };
    /** Unset for a public route. */
    std::optional<TeamId> team;
    /** Priority at the engine, 0 being the highest; unset for the engine's default. */
    std::optional<std::uint32_t> enginePriority;
    /** Address of the engine that keeps a replica of the request's KV cache. */
    std::optional<Address> replicaAddress;
    std::optional<ResumePoint> resume;
};

/** Sends a request to an endpoint. */
struct StartExchange {
    ExchangeParameters parameters;
};

/** Cancels an exchange by closing its connection, so that the endpoint aborts the request. No event follows. */
struct CancelExchange {
    ExchangeId exchange;
};

/** Relays the exchange's response to the caller. Happens once per request, except for resumed streams. */
struct RelayResponse {
    ExchangeId exchange;
};

/** Sends the caller an error response from the gateway itself. */
struct RefuseRequest {
    RequestId request;
    Failure failure;
};

/** Completes the caller's response after ExchangeEnd::Closed. */
struct CompleteResponse {
    RequestId request;
};

/** Closes the caller's connection, so that the caller can detect the incomplete response. */
struct AbortResponse {
    RequestId request;
};

/** Asks an engine to copy a running request's KV cache to another engine. */
struct StartMigration {
    ExchangeId exchange;
    Address source;
    std::string callerRequestId;
    Address target;
    /** True when the request stops at the source; otherwise it keeps running during the copy. */
    bool stopsSource { false };
};

/** Opens a connection to an endpoint and closes it again, to learn whether the endpoint still runs. */
struct ProbeEndpoint {
    EndpointId endpoint;
    Address address;
};

using GatewayAction = std::variant<StartExchange, CancelExchange, RelayResponse, RefuseRequest, CompleteResponse,
    AbortResponse, StartMigration, ProbeEndpoint, SendGossip, SendReading, ReadStore, ReadRollouts, WriteRollout,
    LogEvent, Observation>;
using GatewayActions = std::vector<GatewayAction>;

}
