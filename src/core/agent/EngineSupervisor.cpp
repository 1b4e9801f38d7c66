#include "core/agent/EngineSupervisor.h"

#include "core/common/HandlerTable.h"

#include <algorithm>
#include <array>
#include <utility>

namespace teaselfold {

namespace {

    /** Delays before the first, second and later resumes of one stream. */
    constexpr std::array resumeDelays { Milliseconds(0), Milliseconds(200), Milliseconds(1000) };
    /** A stream without a token for this long is resumed on a new connection. */
    constexpr Seconds streamSilenceTimeout { 10 };
    /** A stream that is lost after at least this much silence is assumed to have timed out. */
    constexpr Seconds idleTimeoutThreshold { 2 };
    /** Maximum age of a report when it arrives. */
    constexpr Seconds maxReportAge { 2 };
    /** Shortest gap between tokens that counts as a stall. */
    constexpr Milliseconds stallThreshold { 1000 };
    constexpr std::size_t maxAbandonedGenerations = 4096;

    double millisecondsOf(Duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

    Observation observationOf(const Generation& generation, Metric metric, double value)
    {
        return Observation { metric, generation.work.team, generation.work.priority, value, {} };
    }

    Failure engineFailure(const Generation& generation, const char* message)
    {
        return Failure { ErrorCode::EngineFailed, message,
            generation.tokens.empty() ? Executed::Unknown : Executed::Yes, Milliseconds(0) };
    }

    Generation* findRunning(EngineContext& context, GenerationId id)
    {
        Generation* generation = context.table.find(id);
        return generation != nullptr && generation->state == GenerationState::Running ? generation : nullptr;
    }

}

bool EngineSupervisor::acceptsStarts(Instant now) const
{
    return !this->unreachableSince && !this->restartSuspected && !(this->backoffUntil && now < *this->backoffUntil);
}

void EngineSupervisor::start(Generation& generation, EngineContext& context)
{
    context.table.setState(generation, GenerationState::Running, context.now);
    generation.started = context.now;
    generation.lastActivity = context.now;
    context.actions.push_back(ToEngine { EngineStart { generation.id, generation.work } });
    context.actions.push_back(
        observationOf(generation, Metric::QueueWait, millisecondsOf(context.now - generation.arrived)));
}

void EngineSupervisor::fail(Generation& generation, const Failure& failure, EngineContext& context)
{
    generation.failure = failure;
    generation.resumeAt.reset();
    context.table.setState(generation, GenerationState::Failed, context.now);
    const Metric metric = failure.code == ErrorCode::Cancelled ? Metric::Cancelled : Metric::Failed;
    context.actions.push_back(observationOf(generation, metric, 1));
    context.actions.push_back(LogEvent { "generation_failed",
        { { "generation", std::to_string(generation.id.get()) }, { "code", std::string(errorCodeName(failure.code)) },
            { "run", std::string(executedName(failure.run)) },
            { "tokens", std::to_string(generation.tokens.size()) } } });
    context.table.stream(generation, context.actions);
}

void EngineSupervisor::abort(Generation& generation, const Failure& failure, EngineContext& context)
{
    context.actions.push_back(ToEngine { EngineCancel { generation.id } });
    this->fail(generation, failure, context);
}

void EngineSupervisor::handle(const EngineEvent& event, EngineContext& context)
{
    static const HandlerTable<EngineSupervisor, void, EngineEvent, EngineContext&> handlers {
        &EngineSupervisor::onTokens, &EngineSupervisor::onFinished, &EngineSupervisor::onRefused,
        &EngineSupervisor::onStreamLost, &EngineSupervisor::onGenerationNotFound, &EngineSupervisor::onReport,
        &EngineSupervisor::onUnreachable, &EngineSupervisor::onCacheEvents, &EngineSupervisor::onOrderResult
    };
    handlers.dispatch(*this, event, context);
}

void EngineSupervisor::onTokens(const EngineTokens& event, EngineContext& context)
{
    Generation* generation = findRunning(context, event.generation);
    if (generation == nullptr)
        return;
    const auto held = static_cast<std::uint32_t>(generation->tokens.size());
    const auto end = event.firstIndex + static_cast<std::uint32_t>(event.texts.size());
    const bool gapKnown = generation->produced > held;
    generation->produced = std::max(generation->produced, end);
    this->unreachableSince.reset();
    this->resolveRestartSuspicion(false, context);
    if (event.firstIndex > held) {
        if (!gapKnown)
            this->resumeStream(*generation, context);
        return;
    }
    if (end > held)
        this->appendTokens(*generation, event, context);
}

void EngineSupervisor::appendTokens(Generation& generation, const EngineTokens& event, EngineContext& context)
{
    const auto held = static_cast<std::uint32_t>(generation.tokens.size());
    const auto first = event.texts.begin() + (held - event.firstIndex);
    const auto count = static_cast<std::uint32_t>(event.texts.end() - first);
    if (generation.work.maxTokens > 0 && held + count > generation.work.maxTokens)
        return this->abort(
            generation, engineFailure(generation, "the engine sends more tokens than were asked for"), context);
    this->observeGap(generation, count, context);
    if (held == 0 && !generation.orphanedSince)
        context.actions.push_back(ToEntry { generation.entry, GenerationStarted { generation.id } });
    generation.tokens.insert(generation.tokens.end(), first, event.texts.end());
    generation.lastToken = context.now;
    generation.lastActivity = context.now;
    generation.streamResumes = 0;
    generation.resumeAt.reset();
    context.table.stream(generation, context.actions);
}

void EngineSupervisor::observeGap(Generation& generation, std::uint32_t count, EngineContext& context)
{
    if (generation.tokens.empty()) {
        context.actions.push_back(
            observationOf(generation, Metric::FirstToken, millisecondsOf(context.now - generation.arrived)));
        return;
    }
    const Duration gap = context.now - generation.lastToken;
    context.actions.push_back(observationOf(generation, Metric::BetweenTokens, millisecondsOf(gap) / count));
    if (gap >= stallThreshold)
        context.actions.push_back(observationOf(generation, Metric::Stall, millisecondsOf(gap)));
    const auto batch = static_cast<std::uint32_t>(context.table.running().size());
    if (context.profile.observeGap(batch, count, gap, context.now))
        context.actions.push_back(LogEvent { "endpoint_cold", { { "reason", "pace_collapsed" } } });
}

void EngineSupervisor::resumeStream(Generation& generation, EngineContext& context)
{
    generation.resumeAt.reset();
    generation.lastActivity = context.now;
    const auto next = static_cast<std::uint32_t>(generation.tokens.size());
    context.actions.push_back(ToEngine { EngineResume { generation.id, next, generation.work.maxTokens } });
}

void EngineSupervisor::onFinished(const EngineFinished& event, EngineContext& context)
{
    Generation* generation = findRunning(context, event.generation);
    if (generation == nullptr)
        return;
    if (generation->produced > generation->tokens.size()) {
        this->resumeStream(*generation, context);
        return;
    }
    this->resolveRestartSuspicion(false, context);
    generation->finishReason = event.reason;
    context.profile.observeFinished(*generation, context.now);
    context.table.setState(*generation, GenerationState::Finished, context.now);
    context.actions.push_back(observationOf(*generation, Metric::Completed, 1));
    context.actions.push_back(
        observationOf(*generation, Metric::OutputLength, static_cast<double>(generation->tokens.size())));
    context.table.stream(*generation, context.actions);
}

void EngineSupervisor::onRefused(const EngineRefused& event, EngineContext& context)
{
    Generation* generation = findRunning(context, event.generation);
    if (generation == nullptr || !generation->tokens.empty())
        return;
    this->backoffUntil = context.now + this->limits.engineBackoff;
    generation->engineRefusals += 1;
    context.table.setState(*generation, GenerationState::Queued, context.now);
    context.refused.push_back(event.generation);
}

void EngineSupervisor::onStreamLost(const EngineStreamLost& event, EngineContext& context)
{
    Generation* generation = findRunning(context, event.generation);
    if (generation == nullptr)
        return;
    this->restartSuspected = true;
    // The stream was silent before it was lost, so it probably timed out although the engine is reachable. The engine
    // may only be slow, so this resume does not count towards the limit.
    if (!this->unreachableSince && context.now - generation->lastActivity >= idleTimeoutThreshold) {
        this->resumeStream(*generation, context);
        return;
    }
    const std::uint32_t resumes = generation->streamResumes;
    if (resumes >= this->limits.maxStreamResumes) {
        this->abort(*generation, engineFailure(*generation, "the engine's stream is lost"), context);
        return;
    }
    generation->streamResumes += 1;
    const Milliseconds delay = resumeDelays[std::min<std::size_t>(resumes, resumeDelays.size() - 1)];
    generation->resumeAt = context.now + delay;
    if (delay == Milliseconds(0))
        this->resumeStream(*generation, context);
}

void EngineSupervisor::onGenerationNotFound(const EngineGenerationNotFound& event, EngineContext& context)
{
    Generation* generation = findRunning(context, event.generation);
    if (generation == nullptr)
        return;
    // A generation without a token may never have reached the engine, so its absence does not show a restart.
    if (!generation->tokens.empty())
        this->resolveRestartSuspicion(true, context);
    this->fail(*generation, engineFailure(*generation, "the engine lost the generation"), context);
}

void EngineSupervisor::resolveRestartSuspicion(bool confirmed, EngineContext& context)
{
    const bool wasSuspected = std::exchange(this->restartSuspected, false);
    if (!wasSuspected || !confirmed)
        return;
    context.profile.markCold();
    context.actions.push_back(LogEvent { "endpoint_cold", { { "reason", "generation_lost" } } });
}

void EngineSupervisor::onReport(const EngineReport& event, EngineContext& context)
{
    this->unreachableSince.reset();
    const bool restarted = this->lastReportAt && event.incarnation != this->engineIncarnation;
    if (restarted)
        this->onEngineRestarted(context);
    // Reports lag behind the engine, so a report without a restart clears the suspicion only when no generation is
    // running. Otherwise the resumed streams show whether the engine restarted.
    if (restarted || context.table.running().empty())
        this->resolveRestartSuspicion(false, context);
    for (const GenerationId id : this->abandonedGenerations)
        context.actions.push_back(ToEngine { EngineCancel { id } });
    this->abandonedGenerations.clear();
    this->engineIncarnation = event.incarnation;
    this->lastReportAt = context.now;
    const auto own = static_cast<std::uint32_t>(context.table.running().size());
    const std::uint64_t preemptions = context.profile.observeReport(event, own);
    if (preemptions == 0)
        return;
    Observation observation { Metric::Preemption, TeamId(), PriorityClass::Standard, 1, {} };
    observation.value = static_cast<double>(preemptions);
    context.actions.push_back(observation);
}

void EngineSupervisor::onEngineRestarted(EngineContext& context)
{
    context.profile.markCold();
    context.actions.push_back(LogEvent { "endpoint_cold", { { "reason", "engine_restarted" } } });
    const std::set<GenerationId> running = context.table.running();
    for (const GenerationId id : running) {
        Generation& generation = *context.table.find(id);
        // A generation that started around or after the last report of the old engine process may run in the new one.
        // Resuming its stream shows whether it does.
        if (generation.started + maxReportAge >= *this->lastReportAt)
            this->resumeStream(generation, context);
        else
            this->fail(generation, engineFailure(generation, "the engine restarted"), context);
    }
}

void EngineSupervisor::onUnreachable(const EngineUnreachable&, EngineContext& context)
{
    if (!this->unreachableSince)
        this->unreachableSince = context.now;
}

void EngineSupervisor::onCacheEvents(const EngineCacheEvents& event, EngineContext& context)
{
    const bool restarted = event.sequence < this->cacheSequence;
    this->cacheSequence = event.sequence;
    if (!restarted)
        return;
    context.profile.markCold();
    context.actions.push_back(LogEvent { "endpoint_cold", { { "reason", "cache_lost" } } });
}

void EngineSupervisor::onOrderResult(const EngineOrderResult& event, EngineContext& context)
{
    context.orderResults.push_back(event);
}

void EngineSupervisor::tick(EngineContext& context)
{
    const std::set<GenerationId> running = context.table.running();
    for (const GenerationId id : running) {
        Generation& generation = *context.table.find(id);
        const bool due = generation.resumeAt && context.now >= *generation.resumeAt;
        const bool silent = !generation.resumeAt && context.now - generation.lastActivity >= streamSilenceTimeout;
        if (due || silent)
            this->resumeStream(generation, context);
    }
    if (this->unreachableSince && context.now - *this->unreachableSince >= this->limits.engineTimeout)
        this->failRunningOnSilence(context);
}

void EngineSupervisor::failRunningOnSilence(EngineContext& context)
{
    const std::set<GenerationId> running = context.table.running();
    if (running.empty())
        return;
    context.profile.markCold();
    context.actions.push_back(LogEvent { "engine_silent", { { "running", std::to_string(running.size()) } } });
    for (const GenerationId id : running) {
        Generation& generation = *context.table.find(id);
        this->fail(generation, engineFailure(generation, "the engine does not answer"), context);
        if (this->abandonedGenerations.size() < maxAbandonedGenerations)
            this->abandonedGenerations.push_back(id);
    }
}

}
