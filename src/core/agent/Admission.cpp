#include "core/agent/Admission.h"

#include "core/common/HandlerTable.h"

#include <algorithm>

namespace teaselfold {

namespace {

    /** Tokens that a team of weight 1 may start in one round. */
    constexpr std::uint32_t roundTokens = 512;
    constexpr Milliseconds shortRetry { 500 };
    constexpr Milliseconds longestRetry { 30000 };
    /** A retry is put off by up to this share of its wait. */
    constexpr std::int64_t retrySpreadDivisor = 4;
    /** The wait is only estimated: work is refused when even this part of it comes too late. */
    constexpr std::int64_t waitDoubtDivisor = 2;
    /** A cold endpoint queues at most this many generations for each that may run. */
    constexpr std::size_t coldQueueFactor = 2;

    bool isTokens(const AgentEvent& event)
    {
        const auto* engine = std::get_if<FromEngine>(&event);
        return engine != nullptr && std::holds_alternative<EngineTokens>(engine->event);
    }

}

Admission::Admission(const AdmissionBuilder& builder)
    : limits(builder.limits)
    , incarnation(builder.incarnation)
    , randomness(builder.randomness)
    , knowledge(builder.endpoint, builder.zone, builder.limits)
    , leavingWatch(builder.endpoint)
    , table(builder.limits)
    , supervisor(builder.limits)
    , orders(builder.endpoint, builder.limits)
    , queue(roundTokens)
{
}

std::vector<AgentAction> Admission::handle(const AgentEvent& event, Instant now)
{
    static const HandlerTable<Admission, void, AgentEvent, Instant> table { &Admission::onLinked,
        &Admission::onUnlinked, &Admission::onEntry, &Admission::onEngine, &Admission::onService,
        &Admission::onPlatform, &Admission::onLeaving, &Admission::onStop, &Admission::onTick };
    if (this->knowledge.observeTime(now))
        this->actions.push_back(LogEvent { "paused", {} });
    table.dispatch(*this, event, now);
    if (!isTokens(event))
        this->startWaiting(now);
    this->reportLoad(now);
    return std::exchange(this->actions, {});
}

void Admission::onLinked(const EntryLinkUp& event, Instant) { this->knowledge.linked(event.entry); }

void Admission::onUnlinked(const EntryLinkDown& event, Instant now)
{
    this->knowledge.unlinked(event.entry);
    this->table.orphan(event.entry, now);
}

void Admission::onEntry(const FromEntry& event, Instant now)
{
    static const HandlerTable<Admission, void, EntryMessage, const EntryId&, Instant> table { &Admission::onHello,
        &Admission::onHeartbeat, &Admission::onSubmit, &Admission::onCancel, &Admission::onResume,
        &Admission::onAcknowledge, &Admission::onCall, &Admission::onFleetCopy, &Admission::onNote,
        &Admission::onOrders, &Admission::onQuarantine, &Admission::onFleetRequest };
    table.dispatch(*this, event.message, event.entry, now);
}

void Admission::reportLoad(Instant now)
{
    if (this->knowledge.reportDue(this->profile.cold(), now))
        this->knowledge.report(this->outlook(now).report(this->queue), now, this->actions);
}

EngineOutlook Admission::outlook(Instant now)
{
    return EngineOutlook(this->knowledge, this->table, this->profile, this->supervisor, now);
}

EngineContext Admission::engineContext(Instant now)
{
    return EngineContext { this->table, this->profile, this->actions, now };
}

void Admission::finishEngineContext(EngineContext& context)
{
    this->requeue(context.refused, context.now);
    for (const EngineOrderResult& result : context.orderResults)
        this->orders.handle(result, this->actions);
    if (this->orders.isSuperseded())
        this->knowledge.markSuperseded();
}

void Admission::onEngine(const FromEngine& event, Instant now)
{
    EngineContext context = this->engineContext(now);
    this->supervisor.handle(event.event, context);
    this->finishEngineContext(context);
    if (const auto* report = std::get_if<EngineReport>(&event.event))
        this->checkModels(*report);
}

void Admission::checkModels(const EngineReport& report)
{
    const auto& models = this->knowledge.fleet().models;
    const bool unloaded = std::any_of(models.begin(), models.end(),
        [&](const auto& row) { return EngineOrders::lacksModel(this->knowledge, report, row.first); });
    if (!unloaded || this->profile.cold())
        return;
    this->profile.turnCold();
    this->actions.push_back(LogEvent { "endpoint_cold", { { "reason", "model_unloaded" } } });
}

void Admission::onService(const FromService&, Instant) { }

void Admission::onPlatform(const FromPlatform& event, Instant now)
{
    if (this->leavingWatch.announces(event.reply))
        this->onLeaving(LeavingNotice {}, now);
    this->orders.handle(event.reply, this->actions);
    if (this->orders.isSuperseded())
        this->knowledge.markSuperseded();
}

void Admission::onLeaving(const LeavingNotice&, Instant now)
{
    this->knowledge.markLeaving();
    // The instance may be taken before queued work ends; other endpoints can still run it.
    for (const GenerationId id : this->table.ids()) {
        Generation& generation = *this->table.find(id);
        if (generation.state == GenerationState::Queued)
            this->refuseQueued(generation, ErrorCode::OutOfService, Milliseconds(0), now);
    }
}

void Admission::onStop(const AgentStopRequested&, Instant)
{
    this->knowledge.markStopping();
    this->actions.push_back(LogEvent { "agent_stopping",
        { { "incarnation", std::to_string(this->incarnation.get()) },
            { "running", std::to_string(this->runningCount()) }, { "queued", std::to_string(this->queuedCount()) } } });
}

void Admission::onTick(const AgentTick&, Instant now)
{
    this->leavingWatch.tick(now, this->actions);
    this->checkDeadlines(now);
    this->table.expire(now);
    EngineContext context = this->engineContext(now);
    this->supervisor.tick(context);
    this->finishEngineContext(context);
    this->orders.tick(this->knowledge, this->profile.lastReport(), now, this->actions);
    if (!this->knowledge.isStopping() || this->drainedSent || !this->table.drained(now))
        return;
    this->drainedSent = true;
    this->actions.push_back(AgentDrained {});
}

void Admission::onHello(const EntryHello&, const EntryId& entry, Instant) { this->knowledge.linked(entry); }

void Admission::onHeartbeat(const EntryHeartbeat& message, const EntryId& entry, Instant now)
{
    this->knowledge.take(entry, message, now, this->actions);
}

void Admission::onFleetCopy(const FleetCopy& message, const EntryId&, Instant)
{
    this->knowledge.take(message, this->actions);
}

void Admission::onNote(const NoteDelivery& message, const EntryId&, Instant)
{
    this->knowledge.take(message, this->actions);
}

void Admission::onOrders(const OrdersDelivery& message, const EntryId& entry, Instant)
{
    this->knowledge.take(entry, message, this->actions);
}

void Admission::onQuarantine(const QuarantineDelivery& message, const EntryId& entry, Instant now)
{
    this->knowledge.take(entry, message, now, this->actions);
}

void Admission::onFleetRequest(const FleetRequest& message, const EntryId& entry, Instant)
{
    this->knowledge.take(entry, message, this->actions);
}

void Admission::onCall(const SubmitCall& message, const EntryId& entry, Instant)
{
    const Failure failure { ErrorCode::NotFound, "no plain service is here", Executed::No, Milliseconds(0) };
    this->actions.push_back(ToEntry { entry, CallFailed { message.call, failure } });
}

std::optional<ErrorCode> Admission::refusalOf(const SubmitGeneration& message, Instant now)
{
    if (const auto reason = this->knowledge.refusalReason())
        return reason;
    if (this->knowledge.isQuarantined(message.work.fingerprint, now))
        return ErrorCode::Quarantined;
    if (message.budget <= Milliseconds(0))
        return ErrorCode::DeadlineExceeded;
    if (this->outlook(now).lacksModel(message.work.model))
        return ErrorCode::NotReady;
    const std::size_t coldLimit = coldQueueFactor * this->profile.allowance();
    const bool coldFull = this->profile.cold() && this->queue.size() >= coldLimit;
    if (coldFull)
        return ErrorCode::NoCapacity;
    const PriorityClass priority = message.work.priority;
    const bool full = this->queue.classSize(priority) >= this->limits.queueCapacity
        || this->queue.teamSize(message.work.team, priority) >= this->limits.queueCapacityPerTeam;
    return full ? std::optional(ErrorCode::QueueFull) : std::nullopt;
}

void Admission::onSubmit(const SubmitGeneration& message, const EntryId& entry, Instant now)
{
    if (const Generation* known = this->table.find(message.generation)) {
        this->actions.push_back(ToEntry { entry, GenerationAccepted { known->id } });
        return;
    }
    if (this->table.isBuried(message.generation)) {
        this->refuse(entry, message.generation, message.work, ErrorCode::Cancelled, Milliseconds(0), now);
        return;
    }
    if (const auto code = this->refusalOf(message, now)) {
        const bool soon = *code == ErrorCode::NoCapacity || *code == ErrorCode::QueueFull;
        const Duration wait = this->profile.expectedWait(this->queue.size() + 1, this->table.running().size());
        this->refuse(entry, message.generation, message.work, *code, this->retryAfter(soon ? wait : Duration(0)), now);
        return;
    }
    this->queueOrRefuse(message, entry, now);
}

Milliseconds Admission::retryAfter(Duration wait)
{
    const Milliseconds base = std::clamp(std::chrono::duration_cast<Milliseconds>(wait), shortRetry, longestRetry);
    if (this->randomness == nullptr)
        return base;
    const auto spread = static_cast<std::uint64_t>(base.count() / retrySpreadDivisor + 1);
    return base + Milliseconds(static_cast<std::int64_t>(this->randomness->next() % spread));
}

void Admission::queueOrRefuse(const SubmitGeneration& message, const EntryId& entry, Instant now)
{
    Generation generation;
    generation.id = message.generation;
    generation.work = message.work;
    generation.entry = entry;
    generation.arrived = now;
    generation.deadline = now + message.budget;
    this->profile.observeArrival(message.work.priority, now);
    const Duration wait = this->outlook(now).waitFor(generation, this->queue);
    const bool unreachable = wait / waitDoubtDivisor + this->profile.shortestRun(generation) > message.budget;
    if (this->limits.refusesEarly && unreachable) {
        this->refuse(entry, generation.id, message.work, ErrorCode::DeadlineUnreachable, this->retryAfter(wait), now);
        return;
    }
    const Generation& added = this->table.add(std::move(generation));
    const std::uint32_t weight = this->knowledge.teamWeight(message.work.team);
    this->queue.push(added.queueItem(this->profile.expectedCost(added)), weight);
    this->actions.push_back(ToEntry { entry, GenerationAccepted { added.id } });
}

void Admission::refuse(const EntryId& entry, GenerationId id, const CompletionWork& work, ErrorCode code,
    Milliseconds retryAfter, Instant now)
{
    this->table.bury(id, now);
    this->actions.push_back(ToEntry { entry, GenerationRefused { id, code, retryAfter } });
    this->actions.push_back(
        Observation { Metric::Refusal, work.team, work.priority, 1, std::string(errorCodeName(code)) });
}

void Admission::refuseQueued(Generation& generation, ErrorCode code, Milliseconds retryAfter, Instant now)
{
    this->queue.remove(generation.queueItem(0));
    const EntryId entry = generation.entry;
    const GenerationId id = generation.id;
    const CompletionWork work = generation.work;
    this->refuse(entry, id, work, code, retryAfter, now);
}

void Admission::requeue(const std::vector<GenerationId>& refused, Instant now)
{
    for (const GenerationId id : refused) {
        Generation& generation = *this->table.find(id);
        const bool handBack = this->knowledge.refusalReason() == ErrorCode::OutOfService;
        if (handBack || generation.engineRefusals >= this->limits.engineRefusals) {
            this->refuseQueued(generation, ErrorCode::NoCapacity, shortRetry, now);
            continue;
        }
        const QueueItem item = generation.queueItem(this->profile.expectedCost(generation));
        this->queue.pushFront(item, this->knowledge.teamWeight(item.team));
    }
}

void Admission::onCancel(const CancelGeneration& message, const EntryId& entry, Instant now)
{
    Generation* generation = this->table.find(message.generation);
    if (generation == nullptr) {
        this->table.bury(message.generation, now);
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

void Admission::onResume(const ResumeGeneration& message, const EntryId& entry, Instant now)
{
    Generation* generation = this->table.find(message.generation);
    if (generation == nullptr) {
        this->table.bury(message.generation, now);
        this->actions.push_back(ToEntry { entry, GenerationUnknown { message.generation } });
        return;
    }
    if (generation->work.team != message.team) {
        this->actions.push_back(ToEntry { entry, GenerationUnknown { message.generation } });
        return;
    }
    this->table.attach(*generation, entry, message.nextIndex, this->actions);
}

void Admission::onAcknowledge(const AcknowledgeTokens& message, const EntryId& entry, Instant)
{
    Generation* generation = this->table.find(message.generation);
    if (generation != nullptr && generation->entry == entry)
        this->table.acknowledge(*generation, message.nextIndex, this->actions);
}

bool Admission::startNext(const QueueItem& item, EngineContext& context)
{
    Generation& generation = *this->table.find(item.id);
    if (context.now >= generation.deadline) {
        this->refuseQueued(generation, ErrorCode::DeadlineExceeded, Milliseconds(0), context.now);
        return true;
    }
    if (this->outlook(context.now).lacksModel(generation.work.model)) {
        this->refuseQueued(generation, ErrorCode::NotReady, shortRetry, context.now);
        return true;
    }
    if (!this->outlook(context.now).mayStart(generation))
        return false;
    this->queue.take(item);
    this->supervisor.start(generation, context);
    return true;
}

void Admission::startWaiting(Instant now)
{
    if (this->knowledge.holdsStarts())
        return;
    EngineContext context = this->engineContext(now);
    // What is overdue does not fit at times; the others need not wait for it.
    auto late = this->queue.overdue();
    while (late && this->startNext(*late, context))
        late = this->queue.overdue();
    auto next = this->queue.front();
    while (next && this->startNext(*next, context))
        next = this->queue.front();
}

void Admission::checkOne(Generation& generation, Instant now)
{
    const bool abandoned = generation.orphanedSince && now - *generation.orphanedSince >= this->limits.orphanGrace;
    const bool late = now >= generation.deadline;
    if (!abandoned && !late)
        return;
    const ErrorCode code = late ? ErrorCode::DeadlineExceeded : ErrorCode::Cancelled;
    if (generation.state == GenerationState::Queued) {
        this->refuseQueued(generation, code, Milliseconds(0), now);
        return;
    }
    EngineContext context = this->engineContext(now);
    const char* message = late ? "the deadline passed" : "no entry asked for the answer";
    this->supervisor.abort(generation, Failure { code, message, Executed::Yes, Milliseconds(0) }, context);
}

void Admission::checkDeadlines(Instant now)
{
    for (const GenerationId id : this->table.ids()) {
        Generation& generation = *this->table.find(id);
        if (!generation.hasEnded())
            this->checkOne(generation, now);
    }
}

}
