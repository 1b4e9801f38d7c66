#include "core/agent/CallKeeper.h"

#include "core/common/HandlerTable.h"

#include <algorithm>

namespace teaselfold {

namespace {

    constexpr Milliseconds shortRetry { 500 };
    constexpr std::uint32_t callsPerRound = 1;
    constexpr int runRetention = 7;
    constexpr int runWeights = 8;
    constexpr std::uint32_t fullPermille = 1000;

    Failure notRun(ErrorCode code, const char* message) { return { code, message, Executed::No, shortRetry }; }

    double millisecondsOf(Duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

    Observation observationOf(const Call& call, Metric metric, double value, std::string label)
    {
        return Observation { metric, call.work.team, PriorityClass::Standard, value, std::move(label) };
    }

}

CallKeeper::CallKeeper(const CallKeeperBuilder& builder)
    : limits(builder.limits)
    , incarnation(builder.incarnation)
    , knowledge(builder.endpoint, builder.zone, builder.limits)
    , leavingWatch(builder.endpoint)
    , claims(builder.limits, *builder.randomness)
    , table(builder.limits)
    , queue(callsPerRound)
{
}

std::vector<AgentAction> CallKeeper::handle(const AgentEvent& event, Instant now)
{
    static const HandlerTable<CallKeeper, void, AgentEvent, Instant> handlers { &CallKeeper::onLinked,
        &CallKeeper::onUnlinked, &CallKeeper::onEntry, &CallKeeper::onEngine, &CallKeeper::onService,
        &CallKeeper::onPlatform, &CallKeeper::onLeaving, &CallKeeper::onStop, &CallKeeper::onTick };
    if (this->knowledge.observeTime(now))
        this->actions.push_back(LogEvent { "paused", {} });
    handlers.dispatch(*this, event, now);
    this->startWaiting(now);
    this->reportLoad(now);
    return std::exchange(this->actions, {});
}

void CallKeeper::onLinked(const EntryLinkUp& event, Instant) { this->knowledge.linked(event.entry); }

void CallKeeper::onUnlinked(const EntryLinkDown& event, Instant) { this->knowledge.unlinked(event.entry); }

void CallKeeper::onEntry(const FromEntry& event, Instant now)
{
    static const HandlerTable<CallKeeper, void, EntryMessage, const EntryId&, Instant> handlers { &CallKeeper::onHello,
        &CallKeeper::onHeartbeat, &CallKeeper::onSubmit, &CallKeeper::onCancel, &CallKeeper::onResume,
        &CallKeeper::onAcknowledge, &CallKeeper::onCall, &CallKeeper::onFleetCopy, &CallKeeper::onNote,
        &CallKeeper::onOrders, &CallKeeper::onQuarantine, &CallKeeper::onFleetRequest };
    handlers.dispatch(*this, event.message, event.entry, now);
}

void CallKeeper::onEngine(const FromEngine&, Instant) { }

void CallKeeper::onLeaving(const LeavingNotice&, Instant now)
{
    this->knowledge.markLeaving();
    for (const GenerationId id : this->table.inState(CallState::Queued))
        this->fail(*this->table.find(id), notRun(ErrorCode::OutOfService, "the endpoint is leaving"), now);
}

void CallKeeper::onStop(const AgentStopRequested&, Instant now)
{
    this->knowledge.markStopping();
    if (!this->stoppingSince)
        this->stoppingSince = now;
    this->actions.push_back(LogEvent { "agent_stopping",
        { { "incarnation", std::to_string(this->incarnation.get()) }, { "active", std::to_string(this->active) } } });
}

void CallKeeper::onHello(const EntryHello&, const EntryId& entry, Instant) { this->knowledge.linked(entry); }

void CallKeeper::onHeartbeat(const EntryHeartbeat& message, const EntryId& entry, Instant now)
{
    this->knowledge.take(entry, message, now, this->actions);
}

void CallKeeper::onFleetCopy(const FleetCopy& message, const EntryId&, Instant)
{
    this->knowledge.take(message, this->actions);
}

void CallKeeper::onNote(const NoteDelivery& message, const EntryId&, Instant)
{
    this->knowledge.take(message, this->actions);
}

void CallKeeper::onOrders(const OrdersDelivery& message, const EntryId& entry, Instant)
{
    this->knowledge.take(entry, message, this->actions);
}

void CallKeeper::onQuarantine(const QuarantineDelivery& message, const EntryId& entry, Instant now)
{
    this->knowledge.take(entry, message, now, this->actions);
}

void CallKeeper::onFleetRequest(const FleetRequest& message, const EntryId& entry, Instant)
{
    this->knowledge.take(entry, message, this->actions);
}

void CallKeeper::onSubmit(const SubmitGeneration& message, const EntryId& entry, Instant now)
{
    this->table.bury(message.generation, now);
    this->actions.push_back(
        ToEntry { entry, GenerationRefused { message.generation, ErrorCode::NotFound, Milliseconds(0) } });
}

void CallKeeper::onResume(const ResumeGeneration& message, const EntryId& entry, Instant)
{
    this->actions.push_back(ToEntry { entry, GenerationUnknown { message.generation } });
}

void CallKeeper::onAcknowledge(const AcknowledgeTokens&, const EntryId&, Instant) { }

std::optional<ErrorCode> CallKeeper::refusalOf(const SubmitCall& message, Instant now) const
{
    if (this->table.isBuried(message.call))
        return ErrorCode::Cancelled;
    if (const auto reason = this->knowledge.refusalReason())
        return reason;
    if (this->knowledge.isQuarantined(message.work.fingerprint, now))
        return ErrorCode::Quarantined;
    if (message.budget <= Milliseconds(0))
        return ErrorCode::DeadlineExceeded;
    const bool full = this->queue.size() >= this->limits.queueCapacity
        || this->queue.teamSize(message.work.team, PriorityClass::Standard) >= this->limits.queueCapacityPerTeam;
    if (full)
        return ErrorCode::QueueFull;
    if (this->active >= this->limits.concurrentCalls && this->expectedWait() > message.budget)
        return ErrorCode::DeadlineUnreachable;
    return std::nullopt;
}

Duration CallKeeper::expectedWait() const
{
    const auto ahead = static_cast<std::int64_t>(this->queue.size() + 1);
    return this->meanRun * ahead / static_cast<std::int64_t>(this->limits.concurrentCalls);
}

void CallKeeper::onCall(const SubmitCall& message, const EntryId& entry, Instant now)
{
    if (Call* known = this->table.find(message.call)) {
        known->entry = entry;
        if (known->state == CallState::Ended)
            this->actions.push_back(ToEntry { entry, *known->reply });
        return;
    }
    Call call;
    call.id = message.call;
    call.work = message.work;
    call.entry = entry;
    call.arrived = now;
    call.deadline = now + message.budget;
    Call& added = this->table.add(std::move(call));
    if (const auto code = this->refusalOf(message, now)) {
        this->fail(added, notRun(*code, "the endpoint does not take the call"), now);
        return;
    }
    this->queue.push(added.queueItem(), this->knowledge.teamWeight(added.work.team));
}

void CallKeeper::onCancel(const CancelGeneration& message, const EntryId& entry, Instant now)
{
    Call* call = this->table.find(message.generation);
    if (call == nullptr) {
        this->table.bury(message.generation, now);
        return;
    }
    if (call->entry != entry)
        return;
    if (call->state == CallState::Queued)
        this->fail(*call, notRun(ErrorCode::Cancelled, "cancelled by the entry"), now);
    if (call->state == CallState::Claiming)
        this->claims.cancel(call->id);
}

void CallKeeper::startWaiting(Instant now)
{
    if (this->knowledge.holdsStarts())
        return;
    while (this->active < this->limits.concurrentCalls) {
        const auto next = this->queue.front();
        if (!next)
            return;
        Call& call = *this->table.find(next->id);
        if (now >= call.deadline) {
            this->fail(call, notRun(ErrorCode::DeadlineExceeded, "the deadline passed in the queue"), now);
            continue;
        }
        this->queue.pop();
        this->startOne(call, now);
    }
}

void CallKeeper::startOne(Call& call, Instant now)
{
    call.holdsPlace = true;
    call.started = now;
    this->active += 1;
    this->actions.push_back(observationOf(call, Metric::QueueWait, millisecondsOf(now - call.arrived), {}));
    if (!call.needsClaim()) {
        this->forward(call, now);
        return;
    }
    call.state = CallState::Claiming;
    this->claims.begin(call.id, call.work, call.deadline, now, this->actions);
}

void CallKeeper::forward(Call& call, Instant now)
{
    call.state = CallState::Forwarded;
    const auto budget = std::chrono::duration_cast<Milliseconds>(call.deadline - now);
    this->actions.push_back(ToService { ServiceForward { call.id, call.work, budget } });
}

void CallKeeper::onPlatform(const FromPlatform& event, Instant now)
{
    if (this->leavingWatch.announces(event.reply))
        this->onLeaving(LeavingNotice {}, now);
    this->takeVerdicts(this->claims.handle(event.reply, now, this->actions), now);
    this->finishRecorded(now);
}

void CallKeeper::takeVerdicts(const std::vector<ClaimVerdict>& verdicts, Instant now)
{
    static const HandlerTable<CallKeeper, void, ClaimVerdict, Instant> handlers { &CallKeeper::onWon,
        &CallKeeper::onReplayed, &CallKeeper::onRefused };
    for (const ClaimVerdict& verdict : verdicts)
        handlers.dispatch(*this, verdict, now);
}

void CallKeeper::onWon(const ClaimWon& verdict, Instant now) { this->forward(*this->table.find(verdict.call), now); }

void CallKeeper::onReplayed(const ClaimReplayed& verdict, Instant now)
{
    Call& call = *this->table.find(verdict.call);
    const ClaimRecord& record = verdict.record;
    if (record.answerKept) {
        this->answer(call, CallAnswered { call.id, record.status, record.headers, record.body, true }, now);
        return;
    }
    const Failure failure { ErrorCode::Conflict, "the call ran before; its answer was too long to be kept",
        Executed::Yes, Milliseconds(0) };
    this->fail(call, failure, now);
}

void CallKeeper::onRefused(const ClaimRefused& verdict, Instant now)
{
    this->fail(*this->table.find(verdict.call), verdict.failure, now);
}

void CallKeeper::onService(const FromService& event, Instant now)
{
    const GenerationId id = std::visit([](const auto& message) { return message.call; }, event.event);
    Call* call = this->table.find(id);
    if (call == nullptr || call->state != CallState::Forwarded)
        return;
    if (const auto* answered = std::get_if<ServiceResponded>(&event.event))
        this->onAnswered(*call, *answered, now);
    else
        this->onLost(*call, std::get<ServiceCallFailed>(event.event).run, now);
}

void CallKeeper::onAnswered(Call& call, const ServiceResponded& answer, Instant now)
{
    const Duration run = now - call.started;
    this->meanRun = this->meanRun == Duration(0) ? run : (this->meanRun * runRetention + run) / runWeights;
    this->actions.push_back(observationOf(call, Metric::CallDuration, millisecondsOf(run), {}));
    this->actions.push_back(observationOf(call, Metric::Completed, 1, {}));
    CallAnswered message { call.id, answer.status, answer.headers, answer.body, false };
    if (!call.needsClaim()) {
        this->answer(call, std::move(message), now);
        return;
    }
    this->releasePlace(call);
    call.state = CallState::Recording;
    call.answered = now;
    call.reply = std::move(message);
    this->claims.recordDone(answer, now, this->actions);
}

void CallKeeper::onLost(Call& call, Executed run, Instant now)
{
    if (call.needsClaim() && run == Executed::No)
        this->claims.recordNotRun(call.id, now, this->actions);
    else if (call.needsClaim())
        this->claims.leaveUnknown(call.id);
    this->fail(call, Failure { ErrorCode::EndpointLost, "the service did not answer", run, shortRetry }, now);
}

void CallKeeper::finishRecorded(Instant now)
{
    for (const GenerationId id : this->table.inState(CallState::Recording)) {
        Call& call = *this->table.find(id);
        const bool waited = now - call.answered >= this->limits.recordPatience;
        if (waited || !this->claims.isRecording(id))
            this->answer(call, *call.reply, now);
    }
}

void CallKeeper::fail(Call& call, const Failure& failure, Instant now)
{
    if (call.state == CallState::Queued)
        this->queue.remove(call.queueItem());
    const Metric metric = failure.run == Executed::No ? Metric::Refusal : Metric::Failed;
    this->actions.push_back(observationOf(call, metric, 1, std::string(errorCodeName(failure.code))));
    this->answer(call, CallFailed { call.id, failure }, now);
}

void CallKeeper::answer(Call& call, AgentMessage message, Instant now)
{
    this->releasePlace(call);
    this->actions.push_back(ToEntry { call.entry, message });
    call.reply = std::move(message);
    call.state = CallState::Ended;
    call.ended = now;
    call.work.body.clear();
}

void CallKeeper::releasePlace(Call& call)
{
    this->active -= call.holdsPlace ? 1 : 0;
    call.holdsPlace = false;
}

void CallKeeper::checkDeadlines(Instant now)
{
    for (const GenerationId id : this->table.inState(CallState::Queued)) {
        Call& call = *this->table.find(id);
        if (now >= call.deadline)
            this->fail(call, notRun(ErrorCode::DeadlineExceeded, "the deadline passed in the queue"), now);
    }
}

void CallKeeper::onTick(const AgentTick&, Instant now)
{
    this->leavingWatch.tick(now, this->actions);
    this->checkDeadlines(now);
    this->takeVerdicts(this->claims.tick(now, this->actions), now);
    this->finishRecorded(now);
    this->table.expire(now);
    const bool settled
        = !this->claims.settling() || (this->stoppingSince && now - *this->stoppingSince >= this->limits.stopPatience);
    if (!this->stoppingSince || this->drainedSent || !this->table.allEnded() || !settled)
        return;
    this->drainedSent = true;
    this->actions.push_back(AgentDrained {});
}

void CallKeeper::reportLoad(Instant now)
{
    if (!this->knowledge.reportDue(false, now))
        return;
    LoadReport report;
    report.running = static_cast<std::uint32_t>(this->active);
    report.queued = static_cast<std::uint32_t>(this->queue.size());
    const std::size_t used = std::min(this->limits.concurrentCalls, this->active + this->queue.size());
    report.room = static_cast<std::uint32_t>(this->limits.concurrentCalls - used);
    report.memoryPermille = static_cast<std::uint32_t>(used * fullPermille / this->limits.concurrentCalls);
    report.expectedWait
        = report.room > 0 ? Milliseconds(0) : std::chrono::duration_cast<Milliseconds>(this->expectedWait());
    this->knowledge.report(report, now, this->actions);
}

}
