#pragma once

#include "core/agent/EngineProfile.h"
#include "core/agent/GenerationTable.h"

#include <optional>
#include <vector>

namespace teaselfold {

/** The state that the supervisor reads and changes while it handles one event, and the results for the caller. */
struct EngineContext {
    GenerationTable& table;
    EngineProfile& profile;
    std::vector<AgentAction>& actions;
    Instant now;
    /** Generations that the engine refused before running them; the caller puts them back into the queue. */
    std::vector<GenerationId> refused {};
    /** The engine's replies to orders. */
    std::vector<EngineOrderResult> orderResults {};
};

/**
 * Supervises the running generations at the engine: starts, resumes and cancels them, and detects restarts and silence
 * of the engine.
 */
class EngineSupervisor {
public:
    explicit EngineSupervisor(AgentLimits limits)
        : limits(limits)
    {
    }

    /** Starts a queued generation, which must be assumed to have run from then on unless the engine refuses it. */
    void start(Generation& generation, EngineContext& context);

    /** Cancels a running generation at the engine and marks it as failed. */
    void abort(Generation& generation, const Failure& failure, EngineContext& context);

    void handle(const EngineEvent& event, EngineContext& context);

    /** Resumes the streams that are due, and fails all running generations when the engine is silent for too long. */
    void tick(EngineContext& context);

    /** @return true while generations may be started at the engine. */
    bool acceptsStarts(Instant now) const;

private:
    void onTokens(const EngineTokens& event, EngineContext& context);
    void onFinished(const EngineFinished& event, EngineContext& context);
    void onRefused(const EngineRefused& event, EngineContext& context);
    void onStreamLost(const EngineStreamLost& event, EngineContext& context);
    void onGenerationNotFound(const EngineGenerationNotFound& event, EngineContext& context);
    void onReport(const EngineReport& event, EngineContext& context);
    void onUnreachable(const EngineUnreachable& event, EngineContext& context);
    void onCacheEvents(const EngineCacheEvents& event, EngineContext& context);
    void onOrderResult(const EngineOrderResult& event, EngineContext& context);

    void observeGap(Generation& generation, std::uint32_t count, EngineContext& context);
    void appendTokens(Generation& generation, const EngineTokens& event, EngineContext& context);
    void resumeStream(Generation& generation, EngineContext& context);
    void fail(Generation& generation, const Failure& failure, EngineContext& context);
    void onEngineRestarted(EngineContext& context);
    /** Ends the suspicion that the engine restarted; a confirmed restart marks the endpoint as cold. */
    void resolveRestartSuspicion(bool confirmed, EngineContext& context);
    void failRunningOnSilence(EngineContext& context);

    AgentLimits limits;
    std::optional<Instant> unreachableSince;
    std::optional<Instant> lastReportAt;
    std::optional<Instant> backoffUntil;
    /** True after a stream broke, until it is known whether the engine restarted. */
    bool restartSuspected { false };
    std::uint64_t engineIncarnation { 0 };
    std::uint64_t cacheSequence { 0 };
    /** Generations that failed while the engine was silent; cancelled at the engine once it answers. */
    std::vector<GenerationId> abandonedGenerations;
};

}
