#pragma once

#include "ports/LinkMessages.h"

namespace teaselfold {

// Agent to engine.

/** Starts a generation on the engine under the given id. */
struct EngineStart {
    GenerationId generation;
    CompletionWork work;
    bool operator==(const EngineStart&) const = default;
};

/** Reattaches to the stream of a running generation, starting at token `nextIndex`. */
struct EngineResume {
    GenerationId generation;
    std::uint32_t nextIndex { 0 };
    /** Tokens that the whole generation may have; zero if its request states none. */
    std::uint32_t maxTokens { 0 };
    bool operator==(const EngineResume&) const = default;
};

/** Cancels a generation and frees its batch slot and KV cache on the engine. Idempotent. */
struct EngineCancel {
    GenerationId generation;
    bool operator==(const EngineCancel&) const = default;
};

enum class EngineOrderKind : std::uint8_t {
    LoadModel,
    UnloadModel,
    LoadAdapter,
    ChangeRole,
};

/** A management command. An engine that checks fencing tokens rejects a token below the highest it has seen. */
struct EngineOrder {
    EngineOrderKind kind { EngineOrderKind::LoadModel };
    std::string name;
    std::string version;
    /** Fencing token. */
    std::uint64_t fence { 0 };
    bool operator==(const EngineOrder&) const = default;
};

using EngineCommand = std::variant<EngineStart, EngineResume, EngineCancel, EngineOrder>;

// Engine to agent.

/** Consecutive tokens from the engine's stream. */
struct EngineTokens {
    GenerationId generation;
    std::uint32_t firstIndex { 0 };
    std::vector<std::string> texts;
    bool operator==(const EngineTokens&) const = default;
};

/** The engine completed the generation. */
struct EngineFinished {
    GenerationId generation;
    FinishReason reason { FinishReason::Stop };
    bool operator==(const EngineFinished&) const = default;
};

/** The engine refused to start the generation; none of it was executed. */
struct EngineRefused {
    GenerationId generation;
    std::string reason;
    bool operator==(const EngineRefused&) const = default;
};

/** The stream broke. The generation may still be running on the engine, so an EngineResume may succeed. */
struct EngineStreamLost {
    GenerationId generation;
    bool operator==(const EngineStreamLost&) const = default;
};

/** The engine does not know the generation named in an EngineResume. */
struct EngineGenerationNotFound {
    GenerationId generation;
    bool operator==(const EngineGenerationNotFound&) const = default;
};

/** The load that the engine reports. It lags behind the actual load. */
struct EngineReport {
    /** Changes when the engine's process restarts; zero when the engine does not report it. */
    std::uint64_t incarnation { 0 };
    std::uint32_t running { 0 };
    std::uint32_t waiting { 0 };
    /** KV-cache blocks in use. */
    std::uint64_t blocksUsed { 0 };
    std::uint64_t blocksTotal { 0 };
    std::uint32_t tokensPerBlock { 16 };
    /** Preemptions since the engine started. */
    std::uint64_t preemptions { 0 };
    std::vector<std::string> loadedModels;
    std::string role;
    /** Highest fencing token that the engine has seen. */
    std::uint64_t highestFence { 0 };
    bool operator==(const EngineReport&) const = default;
};

/** The engine did not respond before the timeout, or refused the connection. */
struct EngineUnreachable {
    bool operator==(const EngineUnreachable&) const = default;
};

/**
 * Prefixes that the engine's cache stored or dropped. Delivery is late and may have gaps: after a gap in `sequence`,
 * all earlier information is invalid.
 */
struct EngineCacheEvents {
    std::uint64_t sequence { 0 };
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> dropped;
    bool operator==(const EngineCacheEvents&) const = default;
};

/** The engine's response to an order. */
struct EngineOrderResult {
    EngineOrder order;
    bool accepted { false };
    std::string message;
    /** True when the engine rejected the order because it has seen a higher fencing token. */
    bool outdatedFence { false };
    bool operator==(const EngineOrderResult&) const = default;
};

using EngineEvent = std::variant<EngineTokens, EngineFinished, EngineRefused, EngineStreamLost,
    EngineGenerationNotFound, EngineReport, EngineUnreachable, EngineCacheEvents, EngineOrderResult>;

// Messages between the agent and the plain service.

/** Forwards a call to the service. */
struct ServiceForward {
    GenerationId call;
    ServiceWork work;
    /** Time left until the caller's deadline. */
    Milliseconds budget { 0 };
    bool operator==(const ServiceForward&) const = default;
};

/** The service's response to a call. */
struct ServiceResponded {
    GenerationId call;
    std::uint16_t status { 0 };
    std::vector<Header> headers;
    std::string body;
    bool operator==(const ServiceResponded&) const = default;
};

/** The service did not respond. `run` is No only when no connection was established. */
struct ServiceCallFailed {
    GenerationId call;
    Executed run { Executed::Unknown };
    bool operator==(const ServiceCallFailed&) const = default;
};

using ServiceEvent = std::variant<ServiceResponded, ServiceCallFailed>;

}
