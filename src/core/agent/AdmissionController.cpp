#include "core/agent/AdmissionController.h"

#include "core/common/HandlerTable.h"

#include <algorithm>

namespace teaselfold {

namespace {

    /** Quantum of the deficit round robin: tokens that a team of weight 1 may start in one round. */
    constexpr std::uint32_t quantumTokens = 512;
    constexpr Milliseconds minRetryAfter { 500 };
    constexpr Milliseconds maxRetryAfter { 30000 };
    /** Jitter lengthens a retry delay by at most the delay divided by this number. */
    constexpr std::int64_t retryJitterDivisor = 4;
    /**
     * The expected wait is an estimate. Work is refused only when the wait divided by this number plus the shortest run
     * time exceeds the budget.
     */
    constexpr std::int64_t waitUncertaintyDivisor = 2;
    /** A cold endpoint queues at most this many generations for each one that may run. */
    constexpr std::size_t maxColdQueueFactor = 2;

    bool isTokenEvent(const AgentEvent& event)
    {
        const auto* engine = std::get_if<FromEngine>(&event);
        return engine != nullptr && std::holds_alternative<EngineTokens>(engine->event);
    }

}

AdmissionController::AdmissionController(const AdmissionControllerBuilder& builder)
    : limits(builder.limits)
    , incarnation(builder.incarnation)
    , randomness(builder.randomness)
    , controlState(builder.endpoint, builder.zone, builder.limits)
    , instanceListPoller(builder.endpoint)
    , table(builder.limits)
    , supervisor(builder.limits)
    , modelReconciler(builder.endpoint, builder.limits)
    , queue(quantumTokens)
{
}

std::vector<AgentAction> AdmissionController::handle(const AgentEvent& event, Instant now)
{
    static const HandlerTable<AdmissionController, void, AgentEvent, Instant> handlers { &AdmissionController::onLinked,
        &AdmissionController::onUnlinked, &AdmissionController::onEntry, &AdmissionController::onEngine,
        &AdmissionController::onService, &AdmissionController::onPlatform, &AdmissionController::onLeaving,
        &AdmissionController::onStop, &AdmissionController::onTick };
    if (this->controlState.detectPause(now))
        this->actions.push_back(LogEvent { "paused", {} });
    handlers.dispatch(*this, event, now);
    if (!isTokenEvent(event))
        this->startQueued(now);
    this->reportLoad(now);
    return std::exchange(this->actions, {});
}

void AdmissionController::onLinked(const EntryLinkUp& event, Instant) { this->controlState.onEntryLinked(event.entry); }

void AdmissionController::onUnlinked(const EntryLinkDown& event, Instant now)
{
    this->controlState.onEntryUnlinked(event.entry);
    this->table.markOrphaned(event.entry, now);
}

void AdmissionController::onEntry(const FromEntry& event, Instant now)
{
    static const HandlerTable<AdmissionController, void, EntryMessage, const EntryId&, Instant> handlers {
        &AdmissionController::onHello, &AdmissionController::onHeartbeat, &AdmissionController::onSubmit,
        &AdmissionController::onCancel, &AdmissionController::onResume, &AdmissionController::onAcknowledge,
        &AdmissionController::onCall, &AdmissionController::onFleetCopy, &AdmissionController::onNote,
        &AdmissionController::onOrders, &AdmissionController::onQuarantine, &AdmissionController::onFleetRequest
    };
    handlers.dispatch(*this, event.message, event.entry, now);
}

void AdmissionController::reportLoad(Instant now)
{
    if (this->controlState.isReportDue(this->profile.isCold(), now))
        this->controlState.report(this->forecast(now).loadReport(this->queue), now, this->actions);
}

EngineForecast AdmissionController::forecast(Instant now)
{
    return EngineForecast(this->controlState, this->table, this->profile, this->supervisor, now);
}

EngineContext AdmissionController::engineContext(Instant now)
{
    return EngineContext { this->table, this->profile, this->actions, now };
}

void AdmissionController::applyEngineResults(EngineContext& context)
{
    this->requeue(context.refused, context.now);
    for (const EngineOrderResult& result : context.orderResults)
        this->modelReconciler.handle(result, this->actions);
    if (this->modelReconciler.isSuperseded())
        this->controlState.markSuperseded();
}

void AdmissionController::onEngine(const FromEngine& event, Instant now)
{
    EngineContext context = this->engineContext(now);
    this->supervisor.handle(event.event, context);
    this->applyEngineResults(context);
    if (const auto* report = std::get_if<EngineReport>(&event.event))
        this->checkLoadedModels(*report);
}

void AdmissionController::checkLoadedModels(const EngineReport& report)
{
    const auto& models = this->controlState.fleet().models;
    const bool unloaded = std::any_of(models.begin(), models.end(),
        [&](const auto& row) { return ModelReconciler::isModelMissing(this->controlState, report, row.first); });
    if (!unloaded || this->profile.isCold())
        return;
    this->profile.markCold();
    this->actions.push_back(LogEvent { "endpoint_cold", { { "reason", "model_unloaded" } } });
}

void AdmissionController::onService(const FromService&, Instant) { }

void AdmissionController::onPlatform(const FromPlatform& event, Instant now)
{
    if (this->instanceListPoller.showsOwnInstanceLeaving(event.reply))
        this->onLeaving(LeavingNotice {}, now);
    this->modelReconciler.handle(event.reply, this->actions);
    if (this->modelReconciler.isSuperseded())
        this->controlState.markSuperseded();
}

void AdmissionController::onLeaving(const LeavingNotice&, Instant now)
{
    this->controlState.markLeaving();
    // The platform may reclaim the instance before queued work ends; other endpoints can still run it.
    for (const GenerationId id : this->table.ids()) {
        Generation& generation = *this->table.find(id);
        if (generation.state == GenerationState::Queued)
            this->refuseQueued(generation, ErrorCode::OutOfService, Milliseconds(0), now);
    }
}

void AdmissionController::onStop(const AgentStopRequested&, Instant)
{
    this->controlState.markStopping();
    this->actions.push_back(LogEvent { "agent_stopping",
        { { "incarnation", std::to_string(this->incarnation.get()) },
            { "running", std::to_string(this->runningCount()) }, { "queued", std::to_string(this->queuedCount()) } } });
}

void AdmissionController::onTick(const AgentTick&, Instant now)
{
    this->instanceListPoller.tick(now, this->actions);
    this->endExpired(now);
    this->table.expire(now);
    EngineContext context = this->engineContext(now);
    this->supervisor.tick(context);
    this->applyEngineResults(context);
    this->modelReconciler.tick(this->controlState, this->profile.lastReport(), now, this->actions);
    if (!this->controlState.isStopping() || this->drainedSent || !this->table.isDrained(now))
        return;
    this->drainedSent = true;
    this->actions.push_back(AgentDrained {});
}

void AdmissionController::onHello(const EntryHello&, const EntryId& entry, Instant)
{
    this->controlState.onEntryLinked(entry);
}

void AdmissionController::onHeartbeat(const EntryHeartbeat& message, const EntryId& entry, Instant now)
{
    this->controlState.apply(entry, message, now, this->actions);
}

void AdmissionController::onFleetCopy(const FleetCopy& message, const EntryId&, Instant)
{
    this->controlState.apply(message, this->actions);
}

void AdmissionController::onNote(const NoteDelivery& message, const EntryId&, Instant)
{
    this->controlState.apply(message, this->actions);
}

void AdmissionController::onOrders(const OrdersDelivery& message, const EntryId& entry, Instant)
{
    this->controlState.apply(entry, message, this->actions);
}

void AdmissionController::onQuarantine(const QuarantineDelivery& message, const EntryId& entry, Instant now)
{
    this->controlState.apply(entry, message, now, this->actions);
}

void AdmissionController::onFleetRequest(const FleetRequest& message, const EntryId& entry, Instant)
{
    this->controlState.apply(entry, message, this->actions);
}

void AdmissionController::onCall(const SubmitCall& message, const EntryId& entry, Instant)
{
    const Failure failure { ErrorCode::NotFound, "no plain service is here", Executed::No, Milliseconds(0) };
    this->actions.push_back(ToEntry { entry, CallFailed { message.call, failure } });
}

std::optional<ErrorCode> AdmissionController::refusalCode(const SubmitGeneration& message, Instant now)
{
    if (const auto reason = this->controlState.refusalReason())
        return reason;
    if (this->controlState.isQuarantined(message.work.fingerprint, now))
        return ErrorCode::Quarantined;
    if (message.budget <= Milliseconds(0))
        return ErrorCode::DeadlineExceeded;
    if (this->forecast(now).isModelMissing(message.work.model))
        return ErrorCode::NotReady;
    const std::size_t coldLimit = maxColdQueueFactor * this->profile.concurrencyLimit();
    const bool coldFull = this->profile.isCold() && this->queue.size() >= coldLimit;
    if (coldFull)
        return ErrorCode::NoCapacity;
    const PriorityClass priority = message.work.priority;
    const bool full = this->queue.classSize(priority) >= this->limits.queueCapacity
        || this->queue.teamSize(message.work.team, priority) >= this->limits.queueCapacityPerTeam;
    return full ? std::optional(ErrorCode::QueueFull) : std::nullopt;
}

void AdmissionController::onSubmit(const SubmitGeneration& message, const EntryId& entry, Instant now)
{
    if (const Generation* existing = this->table.find(message.generation)) {
        this->actions.push_back(ToEntry { entry, GenerationAccepted { existing->id } });
        return;
    }
    if (this->table.hasTombstone(message.generation)) {
        this->refuse(entry, message.generation, message.work, ErrorCode::Cancelled, Milliseconds(0), now);
        return;
    }
    if (const auto code = this->refusalCode(message, now)) {
        const bool overloaded = *code == ErrorCode::NoCapacity || *code == ErrorCode::QueueFull;
        const Duration wait = this->profile.expectedWait(this->queue.size() + 1, this->table.running().size());
        this->refuse(
            entry, message.generation, message.work, *code, this->retryAfter(overloaded ? wait : Duration(0)), now);
        return;
    }
    this->queueOrRefuse(message, entry, now);
}

Milliseconds AdmissionController::retryAfter(Duration wait)
{
    const Milliseconds base = std::clamp(std::chrono::duration_cast<Milliseconds>(wait), minRetryAfter, maxRetryAfter);
    if (this->randomness == nullptr)
        return base;
    const auto jitterRange = static_cast<std::uint64_t>(base.count() / retryJitterDivisor + 1);
    return base + Milliseconds(static_cast<std::int64_t>(this->randomness->next() % jitterRange));
}

void AdmissionController::queueOrRefuse(const SubmitGeneration& message, const EntryId& entry, Instant now)
{
    Generation generation;
    generation.id = message.generation;
    generation.work = message.work;
    generation.entry = entry;
    generation.arrived = now;
    generation.deadline = now + message.budget;
    this->profile.observeArrival(message.work.priority, now);
    const Duration wait = this->forecast(now).expectedWaitOf(generation, this->queue);
    const bool deadlineUnreachable
        = wait / waitUncertaintyDivisor + this->profile.shortestRunTime(generation) > message.budget;
    if (this->limits.refusesUnreachableDeadlines && deadlineUnreachable) {
        this->refuse(entry, generation.id, message.work, ErrorCode::DeadlineUnreachable, this->retryAfter(wait), now);
        return;
    }
    const Generation& added = this->table.add(std::move(generation));
    const std::uint32_t weight = this->controlState.teamWeight(message.work.team);
    this->queue.push(added.queueItem(this->profile.expectedCost(added)), weight);
    this->actions.push_back(ToEntry { entry, GenerationAccepted { added.id } });
}

void AdmissionController::refuse(const EntryId& entry, GenerationId id, const CompletionWork& work, ErrorCode code,
    Milliseconds retryAfter, Instant now)
{
    this->table.addTombstone(id, now);
    this->actions.push_back(ToEntry { entry, GenerationRefused { id, code, retryAfter } });
    this->actions.push_back(
        Observation { Metric::Refusal, work.team, work.priority, 1, std::string(errorCodeName(code)) });
}

void AdmissionController::refuseQueued(Generation& generation, ErrorCode code, Milliseconds retryAfter, Instant now)
{
    this->queue.remove(generation.queueItem(0));
    const EntryId entry = generation.entry;
    const GenerationId id = generation.id;
    const CompletionWork work = generation.work;
    this->refuse(entry, id, work, code, retryAfter, now);
}

void AdmissionController::requeue(const std::vector<GenerationId>& refused, Instant now)
{
    for (const GenerationId id : refused) {
        Generation& generation = *this->table.find(id);
        const bool outOfService = this->controlState.refusalReason() == ErrorCode::OutOfService;
        if (outOfService || generation.engineRefusals >= this->limits.maxEngineRefusals) {
            this->refuseQueued(generation, ErrorCode::NoCapacity, minRetryAfter, now);
            continue;
        }
        const QueueItem item = generation.queueItem(this->profile.expectedCost(generation));
        this->queue.pushFront(item, this->controlState.teamWeight(item.team));
    }
}

void AdmissionController::onCancel(const CancelGeneration& message, const EntryId& entry, Instant now)
{
    Generation* generation = this->table.find(message.generation);
    if (generation == nullptr) {
        this->table.addTombstone(message.generation, now);
        this->actions.push_back(ToEntry { entry, GenerationUnknown { message.generation } });
        return;
    }
    if (generation->entry != entry)
        return;
    if (generation->state == GenerationState::Queued) {
        this->refuseQueued(*generation, ErrorCode::Cancelled, Milliseconds(0), now);
        return;
    }
    if (generation->state != GenerationState::Running)
        return;
    EngineContext context = this->engineContext(now);
    const Failure failure { ErrorCode::Cancelled, "cancelled by the entry", Executed::Yes, Milliseconds(0) };
    this->supervisor.abort(*generation, failure, context);
}

void AdmissionController::onResume(const ResumeGeneration& message, const EntryId& entry, Instant now)
{
    Generation* generation = this->table.find(message.generation);
    if (generation == nullptr) {
        this->table.addTombstone(message.generation, now);
        this->actions.push_back(ToEntry { entry, GenerationUnknown { message.generation } });
        return;
    }
    if (generation->work.team != message.team) {
        this->actions.push_back(ToEntry { entry, GenerationUnknown { message.generation } });
        return;
    }
    this->table.attach(*generation, entry, message.nextIndex, this->actions);
}

void AdmissionController::onAcknowledge(const AcknowledgeTokens& message, const EntryId& entry, Instant)
{
    Generation* generation = this->table.find(message.generation);
    if (generation != nullptr && generation->entry == entry)
        this->table.acknowledge(*generation, message.nextIndex, this->actions);
}

bool AdmissionController::startOrRefuse(const QueueItem& item, EngineContext& context)
{
    Generation& generation = *this->table.find(item.id);
    if (context.now >= generation.deadline) {
        this->refuseQueued(generation, ErrorCode::DeadlineExceeded, Milliseconds(0), context.now);
        return true;
    }
    if (this->forecast(context.now).isModelMissing(generation.work.model)) {
        this->refuseQueued(generation, ErrorCode::NotReady, minRetryAfter, context.now);
        return true;
    }
    if (!this->forecast(context.now).mayStart(generation))
        return false;
    this->queue.dequeue(item);
    this->supervisor.start(generation, context);
    return true;
}

void AdmissionController::startQueued(Instant now)
{
    if (this->controlState.areStartsBlocked())
        return;
    EngineContext context = this->engineContext(now);
    // A starved item that cannot start yet does not block the items in regular order.
    auto starved = this->queue.nextStarved();
    while (starved && this->startOrRefuse(*starved, context))
        starved = this->queue.nextStarved();
    auto next = this->queue.front();
    while (next && this->startOrRefuse(*next, context))
        next = this->queue.front();
}

void AdmissionController::endIfExpired(Generation& generation, Instant now)
{
    const bool abandoned = generation.orphanedSince && now - *generation.orphanedSince >= this->limits.orphanGrace;
    const bool deadlinePassed = now >= generation.deadline;
    if (!abandoned && !deadlinePassed)
        return;
    const ErrorCode code = deadlinePassed ? ErrorCode::DeadlineExceeded : ErrorCode::Cancelled;
    if (generation.state == GenerationState::Queued) {
        this->refuseQueued(generation, code, Milliseconds(0), now);
        return;
    }
    EngineContext context = this->engineContext(now);
    const char* message = deadlinePassed ? "the deadline passed" : "no entry asked for the answer";
    this->supervisor.abort(generation, Failure { code, message, Executed::Yes, Milliseconds(0) }, context);
}

void AdmissionController::endExpired(Instant now)
{
    for (const GenerationId id : this->table.ids()) {
        Generation& generation = *this->table.find(id);
        if (!generation.hasEnded())
            this->endIfExpired(generation, now);
    }
}

}
