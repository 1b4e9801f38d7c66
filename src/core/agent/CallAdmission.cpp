#include "core/agent/CallAdmission.h"

#include "core/common/HandlerTable.h"

#include <algorithm>

namespace teaselfold {

namespace {

    constexpr Milliseconds shortRetryAfter { 500 };
    constexpr std::uint32_t callsPerRound = 1;
    constexpr int previousRunWeight = 7;
    constexpr int totalRunWeight = 8;
    constexpr std::uint32_t fullPermille = 1000;

    Failure notRunFailure(ErrorCode code, const char* message)
    {
        return { code, message, Executed::No, shortRetryAfter };
    }

    double millisecondsOf(Duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

    Observation observationOf(const Call& call, Metric metric, double value, std::string label)
    {
        return Observation { metric, call.work.team, PriorityClass::Standard, value, std::move(label) };
    }

}

CallAdmission::CallAdmission(const CallAdmissionBuilder& builder)
    : limits(builder.limits)
    , incarnation(builder.incarnation)
    , controlState(builder.endpoint, builder.zone, builder.limits)
    , instanceListPoller(builder.endpoint)
    , claims(builder.limits, *builder.randomness)
    , table(builder.limits)
    , queue(callsPerRound)
{
}

std::vector<AgentAction> CallAdmission::handle(const AgentEvent& event, Instant now)
{
    static const HandlerTable<CallAdmission, void, AgentEvent, Instant> handlers { &CallAdmission::onLinked,
        &CallAdmission::onUnlinked, &CallAdmission::onEntry, &CallAdmission::onEngine, &CallAdmission::onService,
        &CallAdmission::onPlatform, &CallAdmission::onLeaving, &CallAdmission::onStop, &CallAdmission::onTick };
    if (this->controlState.detectPause(now))
        this->actions.push_back(LogEvent { "paused", {} });
    handlers.dispatch(*this, event, now);
    this->startQueued(now);
    this->reportLoad(now);
    return std::exchange(this->actions, {});
}

void CallAdmission::onLinked(const EntryLinkUp& event, Instant) { this->controlState.onEntryLinked(event.entry); }

void CallAdmission::onUnlinked(const EntryLinkDown& event, Instant) { this->controlState.onEntryUnlinked(event.entry); }

void CallAdmission::onEntry(const FromEntry& event, Instant now)
{
    static const HandlerTable<CallAdmission, void, EntryMessage, const EntryId&, Instant> handlers {
        &CallAdmission::onHello, &CallAdmission::onHeartbeat, &CallAdmission::onSubmit, &CallAdmission::onCancel,
        &CallAdmission::onResume, &CallAdmission::onAcknowledge, &CallAdmission::onCall, &CallAdmission::onFleetCopy,
        &CallAdmission::onNote, &CallAdmission::onOrders, &CallAdmission::onQuarantine, &CallAdmission::onFleetRequest
    };
    handlers.dispatch(*this, event.message, event.entry, now);
}

void CallAdmission::onEngine(const FromEngine&, Instant) { }

void CallAdmission::onLeaving(const LeavingNotice&, Instant now)
{
    this->controlState.markLeaving();
    for (const GenerationId id : this->table.inState(CallState::Queued))
        this->fail(*this->table.find(id), notRunFailure(ErrorCode::OutOfService, "the endpoint is leaving"), now);
}

void CallAdmission::onStop(const AgentStopRequested&, Instant now)
{
    this->controlState.markStopping();
    if (!this->stoppingSince)
        this->stoppingSince = now;
    this->actions.push_back(LogEvent { "agent_stopping",
        { { "incarnation", std::to_string(this->incarnation.get()) }, { "active", std::to_string(this->active) } } });
}

void CallAdmission::onHello(const EntryHello&, const EntryId& entry, Instant)
{
    this->controlState.onEntryLinked(entry);
}

void CallAdmission::onHeartbeat(const EntryHeartbeat& message, const EntryId& entry, Instant now)
{
    this->controlState.apply(entry, message, now, this->actions);
}

void CallAdmission::onFleetCopy(const FleetCopy& message, const EntryId&, Instant)
{
    this->controlState.apply(message, this->actions);
}

void CallAdmission::onNote(const NoteDelivery& message, const EntryId&, Instant)
{
    this->controlState.apply(message, this->actions);
}

void CallAdmission::onOrders(const OrdersDelivery& message, const EntryId& entry, Instant)
{
    this->controlState.apply(entry, message, this->actions);
}

void CallAdmission::onQuarantine(const QuarantineDelivery& message, const EntryId& entry, Instant now)
{
    this->controlState.apply(entry, message, now, this->actions);
}

void CallAdmission::onFleetRequest(const FleetRequest& message, const EntryId& entry, Instant)
{
    this->controlState.apply(entry, message, this->actions);
}

void CallAdmission::onSubmit(const SubmitGeneration& message, const EntryId& entry, Instant now)
{
    this->table.addTombstone(message.generation, now);
    this->actions.push_back(
        ToEntry { entry, GenerationRefused { message.generation, ErrorCode::NotFound, Milliseconds(0) } });
}

void CallAdmission::onResume(const ResumeGeneration& message, const EntryId& entry, Instant)
{
    this->actions.push_back(ToEntry { entry, GenerationUnknown { message.generation } });
}

void CallAdmission::onAcknowledge(const AcknowledgeTokens&, const EntryId&, Instant) { }

std::optional<ErrorCode> CallAdmission::refusalCode(const SubmitCall& message, Instant now) const
{
    if (this->table.hasTombstone(message.call))
        return ErrorCode::Cancelled;
    if (const auto reason = this->controlState.refusalReason())
        return reason;
    if (this->controlState.isQuarantined(message.work.fingerprint, now))
        return ErrorCode::Quarantined;
    if (message.budget <= Milliseconds(0))
        return ErrorCode::DeadlineExceeded;
    const bool full = this->queue.size() >= this->limits.queueCapacity
        || this->queue.teamSize(message.work.team, PriorityClass::Standard) >= this->limits.queueCapacityPerTeam;
    if (full)
        return ErrorCode::QueueFull;
    if (this->active >= this->limits.maxConcurrentCalls && this->expectedWait() > message.budget)
        return ErrorCode::DeadlineUnreachable;
    return std::nullopt;
}

Duration CallAdmission::expectedWait() const
{
    const auto ahead = static_cast<std::int64_t>(this->queue.size() + 1);
    return this->meanRunTime * ahead / static_cast<std::int64_t>(this->limits.maxConcurrentCalls);
}

void CallAdmission::onCall(const SubmitCall& message, const EntryId& entry, Instant now)
{
    if (Call* existing = this->table.find(message.call)) {
        existing->entry = entry;
        if (existing->state == CallState::Ended)
            this->actions.push_back(ToEntry { entry, *existing->reply });
        return;
    }
    Call call;
    call.id = message.call;
    call.work = message.work;
    call.entry = entry;
    call.arrived = now;
    call.deadline = now + message.budget;
    Call& added = this->table.add(std::move(call));
    if (const auto code = this->refusalCode(message, now)) {
        this->fail(added, notRunFailure(*code, "the endpoint does not take the call"), now);
        return;
    }
    this->queue.push(added.queueItem(), this->controlState.teamWeight(added.work.team));
}

void CallAdmission::onCancel(const CancelGeneration& message, const EntryId& entry, Instant now)
{
    Call* call = this->table.find(message.generation);
    if (call == nullptr) {
        this->table.addTombstone(message.generation, now);
        return;
    }
    if (call->entry != entry)
        return;
    if (call->state == CallState::Queued)
        this->fail(*call, notRunFailure(ErrorCode::Cancelled, "cancelled by the entry"), now);
    if (call->state == CallState::Claiming)
        this->claims.cancel(call->id);
}

void CallAdmission::startQueued(Instant now)
{
    if (this->controlState.areStartsBlocked())
        return;
    while (this->active < this->limits.maxConcurrentCalls) {
        const auto next = this->queue.front();
        if (!next)
            return;
        Call& call = *this->table.find(next->id);
        if (now >= call.deadline) {
            this->fail(call, notRunFailure(ErrorCode::DeadlineExceeded, "the deadline passed in the queue"), now);
            continue;
        }
        this->queue.pop();
        this->startCall(call, now);
    }
}

void CallAdmission::startCall(Call& call, Instant now)
{
    call.holdsSlot = true;
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

void CallAdmission::forward(Call& call, Instant now)
{
    call.state = CallState::Forwarded;
    const auto budget = std::chrono::duration_cast<Milliseconds>(call.deadline - now);
    this->actions.push_back(ToService { ServiceForward { call.id, call.work, budget } });
}

void CallAdmission::onPlatform(const FromPlatform& event, Instant now)
{
    if (this->instanceListPoller.showsOwnInstanceLeaving(event.reply))
        this->onLeaving(LeavingNotice {}, now);
    this->applyClaimResults(this->claims.handle(event.reply, now, this->actions), now);
    this->sendRecordedAnswers(now);
}

void CallAdmission::applyClaimResults(const std::vector<ClaimResult>& results, Instant now)
{
    static const HandlerTable<CallAdmission, void, ClaimResult, Instant> handlers { &CallAdmission::onClaimAcquired,
        &CallAdmission::onClaimReplayed, &CallAdmission::onClaimRefused };
    for (const ClaimResult& result : results)
        handlers.dispatch(*this, result, now);
}

void CallAdmission::onClaimAcquired(const ClaimAcquired& result, Instant now)
{
    this->forward(*this->table.find(result.call), now);
}

void CallAdmission::onClaimReplayed(const ClaimReplayed& result, Instant now)
{
    Call& call = *this->table.find(result.call);
    const ClaimRecord& record = result.record;
    if (record.answerKept) {
        this->answer(call, CallAnswered { call.id, record.status, record.headers, record.body, true }, now);
        return;
    }
    const Failure failure { ErrorCode::Conflict, "the call ran before; its answer was too long to be kept",
        Executed::Yes, Milliseconds(0) };
    this->fail(call, failure, now);
}

void CallAdmission::onClaimRefused(const ClaimRefused& result, Instant now)
{
    this->fail(*this->table.find(result.call), result.failure, now);
}

void CallAdmission::onService(const FromService& event, Instant now)
{
    const GenerationId id = std::visit([](const auto& message) { return message.call; }, event.event);
    Call* call = this->table.find(id);
    if (call == nullptr || call->state != CallState::Forwarded)
        return;
    if (const auto* answered = std::get_if<ServiceResponded>(&event.event))
        this->onServiceResponded(*call, *answered, now);
    else
        this->onServiceCallFailed(*call, std::get<ServiceCallFailed>(event.event).run, now);
}

void CallAdmission::onServiceResponded(Call& call, const ServiceResponded& answer, Instant now)
{
    const Duration run = now - call.started;
    this->meanRunTime
        = this->meanRunTime == Duration(0) ? run : (this->meanRunTime * previousRunWeight + run) / totalRunWeight;
    this->actions.push_back(observationOf(call, Metric::CallDuration, millisecondsOf(run), {}));
    this->actions.push_back(observationOf(call, Metric::Completed, 1, {}));
    CallAnswered message { call.id, answer.status, answer.headers, answer.body, false };
    if (!call.needsClaim()) {
        this->answer(call, std::move(message), now);
        return;
    }
    this->releaseSlot(call);
    call.state = CallState::Recording;
    call.answered = now;
    call.reply = std::move(message);
    this->claims.recordDone(answer, now, this->actions);
}

void CallAdmission::onServiceCallFailed(Call& call, Executed run, Instant now)
{
    if (call.needsClaim() && run == Executed::No)
        this->claims.recordNotRun(call.id, now, this->actions);
    else if (call.needsClaim())
        this->claims.forgetUnresolved(call.id);
    this->fail(call, Failure { ErrorCode::EndpointLost, "the service did not answer", run, shortRetryAfter }, now);
}

void CallAdmission::sendRecordedAnswers(Instant now)
{
    for (const GenerationId id : this->table.inState(CallState::Recording)) {
        Call& call = *this->table.find(id);
        const bool timedOut = now - call.answered >= this->limits.recordWriteTimeout;
        if (timedOut || !this->claims.isOutcomePending(id))
            this->answer(call, *call.reply, now);
    }
}

void CallAdmission::fail(Call& call, const Failure& failure, Instant now)
{
    if (call.state == CallState::Queued)
        this->queue.remove(call.queueItem());
    const Metric metric = failure.run == Executed::No ? Metric::Refusal : Metric::Failed;
    this->actions.push_back(observationOf(call, metric, 1, std::string(errorCodeName(failure.code))));
    this->answer(call, CallFailed { call.id, failure }, now);
}

void CallAdmission::answer(Call& call, AgentMessage message, Instant now)
{
    this->releaseSlot(call);
    this->actions.push_back(ToEntry { call.entry, message });
    call.reply = std::move(message);
    call.state = CallState::Ended;
    call.ended = now;
    call.work.body.clear();
}

void CallAdmission::releaseSlot(Call& call)
{
    this->active -= call.holdsSlot ? 1 : 0;
    call.holdsSlot = false;
}

void CallAdmission::failExpired(Instant now)
{
    for (const GenerationId id : this->table.inState(CallState::Queued)) {
        Call& call = *this->table.find(id);
        if (now >= call.deadline)
            this->fail(call, notRunFailure(ErrorCode::DeadlineExceeded, "the deadline passed in the queue"), now);
    }
}

void CallAdmission::onTick(const AgentTick&, Instant now)
{
    this->instanceListPoller.tick(now, this->actions);
    this->failExpired(now);
    this->applyClaimResults(this->claims.tick(now, this->actions), now);
    this->sendRecordedAnswers(now);
    this->table.expire(now);
    const bool outcomesWritten = !this->claims.hasPendingOutcomes()
        || (this->stoppingSince && now - *this->stoppingSince >= this->limits.stopTimeout);
    if (!this->stoppingSince || this->drainedSent || !this->table.allEnded() || !outcomesWritten)
        return;
    this->drainedSent = true;
    this->actions.push_back(AgentDrained {});
}

void CallAdmission::reportLoad(Instant now)
{
    if (!this->controlState.isReportDue(false, now))
        return;
    LoadReport report;
    report.running = static_cast<std::uint32_t>(this->active);
    report.queued = static_cast<std::uint32_t>(this->queue.size());
    const std::size_t used = std::min(this->limits.maxConcurrentCalls, this->active + this->queue.size());
    report.room = static_cast<std::uint32_t>(this->limits.maxConcurrentCalls - used);
    report.memoryPermille = static_cast<std::uint32_t>(used * fullPermille / this->limits.maxConcurrentCalls);
    report.expectedWait
        = report.room > 0 ? Milliseconds(0) : std::chrono::duration_cast<Milliseconds>(this->expectedWait());
    this->controlState.report(report, now, this->actions);
}

}
