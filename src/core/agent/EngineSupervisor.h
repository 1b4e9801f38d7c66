#pragma once

#include "core/agent/EngineProfile.h"
#include "core/agent/GenerationTable.h"

#include <optional>
#include <vector>

namespace teaselfold {

/** What the supervisor works on during one event. */
struct EngineContext {
    GenerationTable& table;
    EngineProfile& profile;
    std::vector<AgentAction>& actions;
    Instant now;
    /** Generations that the engine refused before running anything; their owner puts them back into the queue. */
    std::vector<GenerationId> refused {};
    /** The engine's answers to orders. */
    std::vector<EngineOrderResult> orderResults {};
};

/** Follows the running generations at the engine: starts, resumes, cancels, and notices restarts and silence. */
class EngineSupervisor {
public:
    explicit EngineSupervisor(AdmissionLimits limits)
        : limits(limits)
    {
    }

    /** Starts a queued generation. From here on it may have run. */
    void start(Generation& generation, EngineContext& context);

    /** Ends a running generation at the engine and here. */
    void abort(Generation& generation, const Failure& failure, EngineContext& context);

    void handle(const EngineEvent& event, EngineContext& context);

    /** Resumes streams that are due and gives up an engine that is silent for too long. */
    void tick(EngineContext& context);

    /** @return true while starts may be sent to the engine. */
    bool accepts(Instant now) const;

private:
    void onTokens(const EngineTokens& event, EngineContext& context);
    void onFinished(const EngineFinished& event, EngineContext& context);
    void onRefused(const EngineRefused& event, EngineContext& context);
    void onStreamLost(const EngineStreamLost& event, EngineContext& context);
    void onGenerationGone(const EngineGenerationNotFound& event, EngineContext& context);
    void onReport(const EngineReport& event, EngineContext& context);
    void onUnreachable(const EngineUnreachable& event, EngineContext& context);
    void onCacheEvents(const EngineCacheEvents& event, EngineContext& context);
    void onOrderResult(const EngineOrderResult& event, EngineContext& context);

    void observeGap(Generation& generation, std::uint32_t count, EngineContext& context);
    void append(Generation& generation, const EngineTokens& event, EngineContext& context);
    void resume(Generation& generation, EngineContext& context);
    void fail(Generation& generation, const Failure& failure, EngineContext& context);
    void engineRestarted(EngineContext& context);
    /** Ends the doubt about the engine's life; a life that ended leaves a cold engine. */
    void settleDoubt(bool died, EngineContext& context);
    void giveUpSilentEngine(EngineContext& context);

    AdmissionLimits limits;
    std::optional<Instant> unreachableSince;
    std::optional<Instant> lastReportAt;
    std::optional<Instant> backoffUntil;
    /** A stream broke, and nothing has shown since whether the engine still lives the same life. */
    bool lifeInDoubt { false };
    std::uint64_t incarnation { 0 };
    std::uint64_t cacheSequence { 0 };
    /** Failed here while the engine was silent; cancelled there once it answers. */
    std::vector<GenerationId> abandoned;
};

}
