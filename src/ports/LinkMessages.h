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

/** Parameters of a generation on a model engine. */
struct CompletionWork {
    TeamId team;
    ModelId model;
    std::string adapter;
    std::string prompt;
    /** Limit set by the caller; zero when there is none. The actual length is not known in advance. */
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

/** A call to a plain service, forwarded unchanged. */
struct ServiceWork {
    TeamId team;
    ServiceId service;
    std::string method;
    /** Path and query as the service sees them. */
    std::string path;
    std::vector<Header> headers;
    std::string body;
    /** Empty when the call may be retried. */
    IdempotencyKey key;
    /** True when the call must be executed at most once. */
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

/** Sent at a fixed interval. The agent closes the link when several are missing. */
struct EntryHeartbeat {
    ReleaseVersion release;
    /** XXH3 digest of all service orders known to the sender. If the digests differ, both sides send their orders. */
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

/** Cancels a generation, for example because the caller disconnected. Idempotent. */
struct CancelGeneration {
    GenerationId generation;
    bool operator==(const CancelGeneration&) const = default;
};

/** Asks the agent to send the tokens from `nextIndex` on over this link. The team must own the generation. */
struct ResumeGeneration {
    GenerationId generation;
    TeamId team;
    std::uint32_t nextIndex { 0 };
    bool operator==(const ResumeGeneration&) const = default;
};

/** Acknowledges that all tokens below `nextIndex` reached the caller. Advances the agent's flow-control window. */
struct AcknowledgeTokens {
    GenerationId generation;
    std::uint32_t nextIndex { 0 };
    bool operator==(const AcknowledgeTokens&) const = default;
};

/** Asks the agent to forward a call to its service; answered by CallAnswered or CallFailed with the same id. */
struct SubmitCall {
    GenerationId call;
    ServiceWork work;
    /** Time left until the caller's deadline, as of sending. */
    Milliseconds budget { 0 };
    bool operator==(const SubmitCall&) const = default;
};

/** The complete configuration, for a peer that is too many versions behind to catch up by release notes. */
struct FleetCopy {
    Fleet fleet;
    bool operator==(const FleetCopy&) const = default;
};

/** An accepted release note, for a peer whose version is `version - 1`. */
struct NoteDelivery {
    ReleaseVersion version;
    ReleaseNote note;
    bool operator==(const NoteDelivery&) const = default;
};

/** All service orders known to the sender; the receiver merges them with its own. */
struct OrdersDelivery {
    std::vector<ServiceOrder> orders;
    bool operator==(const OrdersDelivery&) const = default;
};

/** Requests that were running when an endpoint crashed. After several crashes they are refused for a time. */
struct QuarantineDelivery {
    struct Suspect {
        Fingerprint fingerprint;
        /** Endpoint crashes during which the request was running; zero tells the receiver to clear the suspicion. */
        std::uint32_t deaths { 0 };
        /** Time until the suspicion expires. */
        Milliseconds remaining { 0 };
        bool operator==(const Suspect&) const = default;
    };
    std::vector<Suspect> suspects;
    bool operator==(const QuarantineDelivery&) const = default;
};

/** Requests the agent's configuration; answered by FleetCopy. Sent by an entry that starts during an outage. */
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

/** The endpoint's load, which entries use for routing. Also serves as the agent's heartbeat. */
struct LoadReport {
    ReleaseVersion release;
    /** XXH3 digest of all service orders known to the agent. */
    std::uint64_t ordersDigest { 0 };
    std::uint32_t running { 0 };
    std::uint32_t queued { 0 };
    /** Free slots: generations that the agent can admit at once. An entry subtracts those it has sent since. */
    std::uint32_t room { 0 };
    /** Engine memory in use, in thousandths. */
    std::uint32_t memoryPermille { 0 };
    /** Measured inter-token latency. */
    Microseconds pace { 0 };
    /** Expected queueing delay of a new generation of the Standard class. */
    Milliseconds expectedWait { 0 };
    /** True while the engine is warming up. */
    bool cold { false };
    /** True while the agent drains: planned stop, removal of the instance, or out of service. */
    bool leaving { false };
    bool operator==(const LoadReport&) const = default;
};

/** The generation is queued at the agent or running. */
struct GenerationAccepted {
    GenerationId generation;
    bool operator==(const GenerationAccepted&) const = default;
};

/** The generation was not executed and never will be. */
struct GenerationRefused {
    GenerationId generation;
    ErrorCode code { ErrorCode::NoCapacity };
    Milliseconds retryAfter { 0 };
    bool operator==(const GenerationRefused&) const = default;
};

/** The engine started the generation; from now on the entry must not report it as not executed. */
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

/** The generation is complete and has exactly `tokenCount` tokens. */
struct GenerationFinished {
    GenerationId generation;
    std::uint32_t tokenCount { 0 };
    FinishReason reason { FinishReason::Stop };
    bool operator==(const GenerationFinished&) const = default;
};

/** The generation ended before it was complete. */
struct GenerationFailed {
    GenerationId generation;
    Failure failure;
    bool operator==(const GenerationFailed&) const = default;
};

/** Reply to a resume or cancel of a generation that the agent does not know; it will never run at this endpoint. */
struct GenerationUnknown {
    GenerationId generation;
    bool operator==(const GenerationUnknown&) const = default;
};

/** The service's response to a call. */
struct CallAnswered {
    GenerationId call;
    std::uint16_t status { 0 };
    std::vector<Header> headers;
    std::string body;
    /** True when this is the stored response of an earlier call with the same idempotency key. */
    bool replayed { false };
    bool operator==(const CallAnswered&) const = default;
};

/** The service returned no response to the call. */
struct CallFailed {
    GenerationId call;
    Failure failure;
    bool operator==(const CallFailed&) const = default;
};

using AgentMessage = std::variant<AgentHello, LoadReport, GenerationAccepted, GenerationRefused, GenerationStarted,
    GenerationTokens, GenerationFinished, GenerationFailed, GenerationUnknown, CallAnswered, CallFailed, FleetCopy,
    NoteDelivery, OrdersDelivery, QuarantineDelivery>;

}
