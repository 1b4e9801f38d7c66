#pragma once

#include "ports/LinkMessages.h"

namespace teaselfold {

// Agent to engine.

/** Starts a generation on the engine under the agent's generation id. */
struct EngineStart {
    GenerationId generation;
    CompletionWork work;
    bool operator==(const EngineStart&) const = default;
};

/** Attaches again to a running generation's stream, from a token index on. */
struct EngineResume {
    GenerationId generation;
    std::uint32_t nextIndex { 0 };
    bool operator==(const EngineResume&) const = default;
};

/** Frees the engine's batch slot and memory. Idempotent. */
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

/** An order with a fencing number; an engine that checks refuses a number below the highest it has seen. */
struct EngineOrder {
    EngineOrderKind kind { EngineOrderKind::LoadModel };
    std::string name;
    std::string version;
    std::uint64_t fence { 0 };
    bool operator==(const EngineOrder&) const = default;
};

using EngineCommand = std::variant<EngineStart, EngineResume, EngineCancel, EngineOrder>;

// Engine to agent.

/** Consecutive tokens, as the engine's stream delivers them. */
struct EngineTokens {
    GenerationId generation;
    std::uint32_t firstIndex { 0 };
    std::vector<std::string> texts;
    bool operator==(const EngineTokens&) const = default;
};

/** The engine ended the generation by itself. */
struct EngineFinished {
    GenerationId generation;
    FinishReason reason { FinishReason::Stop };
    bool operator==(const EngineFinished&) const = default;
};

/** The engine refused the start; nothing ran. */
struct EngineRefused {
    GenerationId generation;
    std::string reason;
    bool operator==(const EngineRefused&) const = default;
};

/** The stream broke. The generation may still run on the engine, so a resume may find it. */
struct EngineStreamLost {
    GenerationId generation;
    bool operator==(const EngineStreamLost&) const = default;
};

/** The engine does not hold the generation that a resume named. */
struct EngineGenerationNotFound {
    GenerationId generation;
    bool operator==(const EngineGenerationNotFound&) const = default;
};

/** The engine's own report; it lags. */
struct EngineReport {
    /** Changes when the engine's process restarts; zero when the engine tells none. */
    std::uint64_t incarnation { 0 };
    std::uint32_t running { 0 };
    std::uint32_t waiting { 0 };
    std::uint64_t blocksUsed { 0 };
    std::uint64_t blocksTotal { 0 };
    std::uint32_t tokensPerBlock { 16 };
    /** Preemptions since the engine started. */
    std::uint64_t preemptions { 0 };
    std::vector<std::string> loadedModels;
    std::string role;
    std::uint64_t highestFence { 0 };
    bool operator==(const EngineReport&) const = default;
};

/** No answer from the engine within the time limit, or its port is closed. */
struct EngineUnreachable {
    bool operator==(const EngineUnreachable&) const = default;
};

/** Prefixes the engine's cache now holds or dropped. Late and with gaps: a jump in `sequence` voids earlier knowledge.
 */
struct EngineCacheEvents {
    std::uint64_t sequence { 0 };
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> dropped;
    bool operator==(const EngineCacheEvents&) const = default;
};

/** The engine's answer to an order. */
struct EngineOrderResult {
    EngineOrder order;
    bool accepted { false };
    std::string message;
    /** True when the engine refused because it has seen a higher fencing number. */
    bool outdatedFence { false };
    bool operator==(const EngineOrderResult&) const = default;
};

using EngineEvent = std::variant<EngineTokens, EngineFinished, EngineRefused, EngineStreamLost,
    EngineGenerationNotFound, EngineReport, EngineUnreachable, EngineCacheEvents, EngineOrderResult>;

// Agent and plain service.

/** Passes a call to the service. */
struct ServiceForward {
    GenerationId call;
    ServiceWork work;
    Milliseconds budget { 0 };
    bool operator==(const ServiceForward&) const = default;
};

/** The service answered. */
struct ServiceResponded {
    GenerationId call;
    std::uint16_t status { 0 };
    std::vector<Header> headers;
    std::string body;
    bool operator==(const ServiceResponded&) const = default;
};

/** The service did not answer. `run` is No only when the connection was never made. */
struct ServiceCallFailed {
    GenerationId call;
    Executed run { Executed::Unknown };
    bool operator==(const ServiceCallFailed&) const = default;
};

using ServiceEvent = std::variant<ServiceResponded, ServiceCallFailed>;

}
