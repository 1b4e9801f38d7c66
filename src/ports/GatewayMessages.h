#pragma once

#include "ports/GatewayConfiguration.h"
#include "ports/GatewayLimits.h"
#include "ports/Outcome.h"
#include "ports/PeerInterfaces.h"
#include "ports/Telemetry.h"

#include <memory>
#include <variant>

namespace teaselfold {

/** One request sent to one endpoint. Unique within a process. */
using ExchangeId = Id<struct ExchangeTag, std::uint64_t>;
/** Names a copy of a running request's memory at an engine. */
using KvCacheHandle = Id<struct KvCacheHandleTag, std::string>;

/** What a caller asks for, without its body. */
struct GatewayRequest {
    RequestId id;
    /** The caller's own name for this request. Empty when it gave none. */
    std::string callerRequestId;
    std::string method;
    std::string host;
    /** Path without the query. */
    std::string path;
    std::string key;
    /** Time that the caller will wait, counted from its arrival. */
    std::optional<Milliseconds> callerTimeout;
    std::uint64_t promptTokens { 0 };
    std::uint64_t maxOutputTokens { 0 };
    /** The caller's guess of the output's length; zero when it gave none. */
    std::uint64_t expectedOutputTokens { 0 };
    Fingerprint fingerprint;
};

/** A whole request came in. */
struct RequestArrived {
    GatewayRequest request;
};

/** The caller closed its connection before its answer was complete. */
struct RequestAbandoned {
    RequestId request;
};

/** Work that an endpoint reports beside an answer. */
struct ReportedLoad {
    std::uint32_t running { 0 };
    std::uint32_t waiting { 0 };
    std::uint32_t slots { 0 };
};

/** What an answer's head says. */
struct ResponseSummary {
    std::uint16_t status { 0 };
    /** The endpoint states that it has not run the request and never will. */
    bool notExecuted { false };
    /** Another endpoint has the address by now; the request never reached the one that was meant. */
    bool isMisdirected { false };
    /** The endpoint signed the answer: it is the endpoint's own. */
    bool isSigned { false };
    bool isStream { false };
    std::optional<ReportedLoad> load;
};

/** A stream's head came, or any other answer came whole. */
struct ResponseReceived {
    ExchangeId exchange;
    ResponseSummary response;
};

/** How an exchange came to its end. */
enum class ExchangeEnd : std::uint8_t {
    Complete,
    /** No connection could be made, so nothing was sent. */
    NotConnected,
    /** The connection broke or carried something that is no answer. */
    Broken,
};

/** Nothing more comes of an exchange. Sent after ResponseReceived when there was an answer. */
struct ExchangeEnded {
    ExchangeId exchange;
    ExchangeEnd end { ExchangeEnd::Broken };
};

/** Events of a stream went on to the caller. */
struct EventsRelayed {
    ExchangeId exchange;
    /** Identifier of the newest event that went on. */
    std::uint64_t lastEventId { 0 };
};

/** What became of the order to hand a running request over. */
enum class MigrationOutcome : std::uint8_t {
    Copied,
    NoSuchRun,
    InProgress,
    NoRoom,
    Failed,
};

/** An engine answered a move. */
struct MigrationResponseReceived {
    ExchangeId exchange;
    MigrationOutcome outcome { MigrationOutcome::Failed };
    KvCacheHandle handle;
};

/** A newer configuration was read. */
struct ConfigurationRead {
    std::shared_ptr<const GatewayConfiguration> configuration;
};

/** All endpoints were read at once. */
struct EndpointsListed {
    std::vector<EndpointRecord> endpoints;
};

/** Endpoints changed since the last reading. */
struct EndpointsChanged {
    std::vector<EndpointRecord> changed;
    /** Left, or cannot be used: the record is gone or unreadable. */
    std::vector<EndpointId> removed;
};

/** All zones out of service were read. */
struct OutOfServiceZonesRead {
    std::set<ZoneId> zones;
};

/** A part of the platform's store that is followed on its own. */
enum class StoreSection : std::uint8_t {
    Configuration,
    Endpoints,
    /** The gateways themselves. */
    Members,
};
constexpr std::size_t storeSectionCount = 3;

/** The store answered a reading: what was read holds as of the reading's start. */
struct StoreReadSucceeded {
    StoreSection section { StoreSection::Configuration };
    Instant readStartedAt;
};

/** A reading of the store failed. */
struct StoreReadFailed {
    StoreSection section { StoreSection::Configuration };
    std::string reason;
};

/** All gateways of the store's list. */
struct MembersListed {
    std::vector<GatewayMember> members;
};

/** Another gateway's news came in. */
struct GossipReceived {
    GossipMessage gossip;
};

/** The settings changed in a way that can be applied while running. */
struct LimitsChanged {
    GatewayLimits limits;
};

/** The process is to stop once its work is done. */
struct GatewayStopRequested { };

using GatewayEvent = std::variant<RequestArrived, RequestAbandoned, ResponseReceived, ExchangeEnded, EventsRelayed,
    MigrationResponseReceived, ConfigurationRead, EndpointsListed, EndpointsChanged, OutOfServiceZonesRead,
    StoreReadSucceeded, StoreReadFailed, MembersListed, GossipReceived, LimitsChanged, GatewayStopRequested>;

/** Where a stream goes on that was begun elsewhere. */
struct ResumePoint {
    /** Engine that holds the memory. */
    Address holder;
    KvCacheHandle handle;
    /** Newest event that the caller has. */
    std::uint64_t lastEventId { 0 };
};

/** What is sent along with a request to an endpoint. */
struct ExchangeParameters {
    ExchangeId exchange;
    RequestId request;
    EndpointId endpoint;
    Address address;
    /** Time that the endpoint may use. */
    Milliseconds timeLeft { 0 };
    /** Nothing for a public route. */
    std::optional<TeamId> team;
    /** Urgency at the engine, 0 first; nothing leaves the engine's own. */
    std::optional<std::uint32_t> enginePriority;
    /** Engine that is to keep a copy of the run's memory. */
    std::optional<Address> replicaAt;
    std::optional<ResumePoint> resume;
};

/** Sends a request to an endpoint. */
struct StartExchange {
    ExchangeParameters parameters;
};

/** Ends an exchange: closes its connection, so that the endpoint drops the work. No event follows. */
struct CancelExchange {
    ExchangeId exchange;
};

/** Passes the exchange's answer on to the caller. Once for each request, but for resumed streams. */
struct RelayResponse {
    ExchangeId exchange;
};

/** Gives the caller an answer of our own. */
struct RefuseRequest {
    RequestId request;
    Failure failure;
};

/** Closes the caller's connection so that its answer is visibly incomplete. */
struct AbortResponse {
    RequestId request;
};

/** Orders an engine to copy a running request's memory to another engine. */
struct StartMigration {
    ExchangeId exchange;
    Address source;
    std::string callerRequestId;
    Address target;
    /** The run stops at the source. Otherwise it goes on while it is copied. */
    bool stopsSource { false };
};

using GatewayAction = std::variant<StartExchange, CancelExchange, RelayResponse, RefuseRequest, AbortResponse,
    StartMigration, SendGossip, LogEvent, Observation>;
using GatewayActions = std::vector<GatewayAction>;

}
