#pragma once

#include "ports/Fleet.h"
#include "ports/Ids.h"
#include "ports/Outcome.h"
#include "ports/Time.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace teaselfold {

/** What a model engine is asked to generate. */
struct CompletionWork {
    TeamId team;
    ModelId model;
    std::string adapter;
    std::string prompt;
    /** Upper bound set by the caller; zero when it set none. The real length is unknown ahead. */
    std::uint32_t maxTokens { 0 };
    PriorityClass priority { PriorityClass::Standard };
    Fingerprint fingerprint;

    bool operator==(const CompletionWork&) const = default;
};

/** One HTTP header of a call to a plain service. */
struct Header {
    std::string name;
    std::string value;

    bool operator==(const Header&) const = default;
};

/** A call to a plain service, passed through unchanged. */
struct ServiceWork {
    TeamId team;
    ServiceId service;
    std::string method;
    /** Path and query as the service sees them. */
    std::string path;
    std::vector<Header> headers;
    std::string body;
    /** Empty when the call may be repeated. */
    IdempotencyKey key;
    /** True when the call must run at most once. */
    bool atMostOnce { false };
    Fingerprint fingerprint;

    bool operator==(const ServiceWork&) const = default;
};

// Entry to agent.

/** First message on a link. */
struct EntryHello {
    EntryId entry;
    bool operator==(const EntryHello&) const = default;
};

/** Sent at a fixed interval; an agent that misses several closes the link. */
struct EntryHeartbeat {
    ReleaseVersion release;
    /** XXH3 digest of all service orders known; unequal digests make both sides send theirs. */
    std::uint64_t ordersDigest { 0 };
    bool operator==(const EntryHeartbeat&) const = default;
};

/** Asks the agent to run a generation; answered by GenerationAccepted or GenerationRefused. */
struct SubmitGeneration {
    GenerationId generation;
    CompletionWork work;
    /** Time left until the caller's deadline, as of sending. */
    Milliseconds budget { 0 };
    bool operator==(const SubmitGeneration&) const = default;
};

/** The caller left or the answer is no longer wanted. Idempotent. */
struct CancelGeneration {
    GenerationId generation;
    bool operator==(const CancelGeneration&) const = default;
};

/** Asks for the tokens from `nextIndex` on, on this link from now on. The team must own the generation. */
struct ResumeGeneration {
    GenerationId generation;
    TeamId team;
    std::uint32_t nextIndex { 0 };
    bool operator==(const ResumeGeneration&) const = default;
};

/** All tokens below `nextIndex` reached the caller; lets the agent send more. */
struct AcknowledgeTokens {
    GenerationId generation;
    std::uint32_t nextIndex { 0 };
    bool operator==(const AcknowledgeTokens&) const = default;
};

/** Asks the agent to pass a call to its service; answered by CallAnswered or CallFailed with the same id. */
struct SubmitCall {
    GenerationId call;
    ServiceWork work;
    Milliseconds budget { 0 };
    bool operator==(const SubmitCall&) const = default;
};

/** The whole configuration, for a peer that is too far behind for single notes. */
struct FleetCopy {
    Fleet fleet;
    bool operator==(const FleetCopy&) const = default;
};

/** One accepted release note, for a peer whose version is `version - 1`. */
struct NoteDelivery {
    ReleaseVersion version;
    ReleaseNote note;
    bool operator==(const NoteDelivery&) const = default;
};

/** All service orders the sender knows; the receiver merges them. */
struct OrdersDelivery {
    std::vector<ServiceOrder> orders;
    bool operator==(const OrdersDelivery&) const = default;
};

/** Fingerprints of requests that must not run for a time, with the time left. */
struct QuarantineDelivery {
    struct Suspect {
        Fingerprint fingerprint;
        std::uint32_t deaths { 0 };
        Milliseconds remaining { 0 };
        bool operator==(const Suspect&) const = default;
    };
    std::vector<Suspect> suspects;
    bool operator==(const QuarantineDelivery&) const = default;
};

/** Asks the agent for its whole configuration; answered by FleetCopy. Sent by an entry that starts in an outage. */
struct FleetRequest {
    bool operator==(const FleetRequest&) const = default;
};

using EntryMessage = std::variant<EntryHello, EntryHeartbeat, SubmitGeneration, CancelGeneration, ResumeGeneration,
    AcknowledgeTokens, SubmitCall, FleetCopy, NoteDelivery, OrdersDelivery, QuarantineDelivery, FleetRequest>;

// Agent to entry.

/** First message of the agent on a link. */
struct AgentHello {
    EndpointId endpoint;
    Incarnation incarnation;
    bool operator==(const AgentHello&) const = default;
};

/** What an entry needs to route; also the agent's heartbeat. */
struct LoadReport {
    ReleaseVersion release;
    std::uint64_t ordersDigest { 0 };
    std::uint32_t running { 0 };
    std::uint32_t queued { 0 };
    /** Further generations the agent expects to admit at once; what the entry has sent since comes off it. */
    std::uint32_t room { 0 };
    /** Share of the engine's memory in use, in thousandths. */
    std::uint32_t memoryPermille { 0 };
    /** Measured time between tokens. */
    Microseconds pace { 0 };
    /** Expected wait of a new Standard generation before it starts. */
    Milliseconds expectedWait { 0 };
    bool cold { false };
    /** True once the agent takes no new work: planned stop, leaving notice, or out of service. */
    bool leaving { false };
    bool operator==(const LoadReport&) const = default;
};

/** The generation waits in the agent's queue or runs. */
struct GenerationAccepted {
    GenerationId generation;
    bool operator==(const GenerationAccepted&) const = default;
};

/** The generation did not run and never will. */
struct GenerationRefused {
    GenerationId generation;
    ErrorCode code { ErrorCode::NoCapacity };
    Milliseconds retryAfter { 0 };
    bool operator==(const GenerationRefused&) const = default;
};

/** The engine began to run the generation; from here on "not run" would be untrue. */
struct GenerationStarted {
    GenerationId generation;
    bool operator==(const GenerationStarted&) const = default;
};

/** Consecutive tokens of one generation. */
struct GenerationTokens {
    GenerationId generation;
    std::uint32_t firstIndex { 0 };
    std::vector<std::string> texts;
    bool operator==(const GenerationTokens&) const = default;
};

enum class FinishReason : std::uint8_t {
    Stop,
    Length,
};

/** The generation is whole: it has exactly `tokenCount` tokens. */
struct GenerationFinished {
    GenerationId generation;
    std::uint32_t tokenCount { 0 };
    FinishReason reason { FinishReason::Stop };
    bool operator==(const GenerationFinished&) const = default;
};

/** The generation ended without being whole. */
struct GenerationFailed {
    GenerationId generation;
    Failure failure;
    bool operator==(const GenerationFailed&) const = default;
};

/** Answer to a resume or cancel of a generation the agent does not hold; it will never run here. */
struct GenerationUnknown {
    GenerationId generation;
    bool operator==(const GenerationUnknown&) const = default;
};

/** The service's answer to a call, also when it is the kept answer of an earlier run. */
struct CallAnswered {
    GenerationId call;
    std::uint16_t status { 0 };
    std::vector<Header> headers;
    std::string body;
    /** True when this is the kept answer of an earlier run of the same key. */
    bool replayed { false };
    bool operator==(const CallAnswered&) const = default;
};

/** The call has no answer from the service. */
struct CallFailed {
    GenerationId call;
    Failure failure;
    bool operator==(const CallFailed&) const = default;
};

using AgentMessage = std::variant<AgentHello, LoadReport, GenerationAccepted, GenerationRefused, GenerationStarted,
    GenerationTokens, GenerationFinished, GenerationFailed, GenerationUnknown, CallAnswered, CallFailed, FleetCopy,
    NoteDelivery, OrdersDelivery, QuarantineDelivery>;

}
