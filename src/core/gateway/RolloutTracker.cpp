#include "core/gateway/RolloutTracker.h"

#include "core/entry/Rendezvous.h"
#include "core/gateway/GatewayLog.h"

#include <algorithm>
#include <array>

namespace teaselfold {

namespace {

    /** Time between the writes of gateways with adjacent ranks, for states on which others wait and for the first. */
    constexpr Milliseconds finalWriteStep(120);
    constexpr Milliseconds firstWriteStep(500);
    /** Time after which a call to the store without a result is given up; longer than the call itself takes. */
    constexpr Milliseconds callTimeout(2500);
    constexpr Milliseconds callRetryDelay(300);
    /** Time for which a gateway that comes to a roll-out in progress waits to be told how far it is. */
    constexpr Milliseconds joiningTime(1500);
    /** Age of an order from which the roll-out may be further than its record. */
    constexpr Milliseconds youngOrderAge(1000);
    /** Part of the rollback limit at which a gateway reads the store that others may not be able to tell. */
    constexpr int readsPerRollbackLimit = 3;
    /** Time after the deadline at which the store is asked for the end of a roll-out. */
    constexpr Milliseconds overdueTime(500);
    constexpr Milliseconds overdueReadInterval(1000);
    /** Time for which the end of a roll-out is told. */
    constexpr Seconds settledTellingTime(10);
    /** Requests to other endpoints of the new version after one became suspect. */
    constexpr double confirmingProbes = 12;
    /** Interval at which the answers are judged. */
    constexpr Milliseconds judgingInterval(200);
    /** Time for which the same endpoints get probes; longer for engines, which fill up slowly. */
    constexpr Milliseconds probeWindowTime(1000);
    constexpr Milliseconds engineProbeWindowTime(4000);
    /** A sound version under all requests of the service for the first time is judged with more patience. */
    constexpr RolloutConfidence observingConfidence { 1e-3, 2e-2 };
    constexpr RolloutConfidence shiftingConfidence { 1e-4, 1e-2 };

    LogEvent rolloutLogEvent(std::string name, const Rollout& rollout, Instant now)
    {
        return { std::move(name),
            { { "service", rollout.order.service.get() }, { "to", rollout.order.target.get() },
                { "elapsed_ms", Internal::millisecondsText(rollout.elapsed(now)) } } };
    }

    std::vector<LogField> fieldsOf(const RolloutFault& fault)
    {
        return { { "kind", fault.kind }, { "one_route", fault.isOneRoute ? "true" : "false" },
            { "answered", std::to_string(fault.answered) }, { "bad", std::to_string(fault.bad) },
            { "usual_rate", std::to_string(fault.usualRate) } };
    }

    /** @return the versions that serve a service after its last roll-out. */
    std::vector<SoftwareVersion> establishedBy(const RolloutRecord& record)
    {
        return record.state == RolloutState::Completed ? std::vector { record.target } : record.previous;
    }

}

double RolloutTracker::initialCredit(const RolloutOrder& order) const
{
    constexpr double hashRange = 18446744073709551616.0;
    return static_cast<double>(rendezvousWeight(rolloutHashOf(order), EndpointId(this->self.get()))) / hashRange;
}

std::uint64_t rolloutHashOf(const RolloutOrder& order)
{
    return hashOf(order.service.get() + '\n' + order.target.get());
}

const RolloutTracker::PhaseRules& RolloutTracker::rulesOf(RolloutPhase phase)
{
    static constexpr std::array<PhaseRules, rolloutPhaseCount> table { {
        { &RolloutTracker::stepLoading, true, false, RolloutSignal::Observing, "loading" },
        { &RolloutTracker::stepObserving, true, true, RolloutSignal::Observing, "observing" },
        { &RolloutTracker::stepShifting, false, true, RolloutSignal::Shifting, "shifting" },
        { &RolloutTracker::stepCondemned, true, false, RolloutSignal::Condemned, "condemned" },
        { &RolloutTracker::stepSettled, true, false, RolloutSignal::Reverted, "reverted" },
        { &RolloutTracker::stepSettled, false, true, RolloutSignal::Completed, "completed" },
    } };
    return table[static_cast<std::size_t>(phase)];
}

RolloutTracker::SignalStep RolloutTracker::stepOf(RolloutSignal signal)
{
    static constexpr std::array<SignalStep, rolloutSignalCount> table { &RolloutTracker::heardInProgress,
        &RolloutTracker::heardInProgress, &RolloutTracker::heardCondemned, &RolloutTracker::heardReverted,
        &RolloutTracker::heardCompleted };
    return table[static_cast<std::size_t>(signal)];
}

Rollout* RolloutTracker::find(const ServiceId& service)
{
    const auto found = this->rollouts.find(service);
    return found == this->rollouts.end() ? nullptr : &found->second;
}

void RolloutTracker::ordersRead(const RolloutOrdersRead& event, Instant now, GatewayActions& actions)
{
    for (const std::string& key : event.malformed) {
        if (this->malformedOrders.insert(key).second)
            actions.emplace_back(LogEvent { "rollout_order_ignored", { { "row", key } } });
    }
    this->malformedOrders = { event.malformed.begin(), event.malformed.end() };
    std::set<ServiceId> ordered;
    for (const RolloutOrder& order : event.orders) {
        ordered.insert(order.service);
        Rollout* known = this->find(order.service);
        if (known && known->order.target == order.target) {
            known->order.duration = order.duration;
            continue;
        }
        Rollout rollout;
        rollout.order = order;
        rollout.orderedAt = now;
        rollout.nextReadAt = now;
        rollout.probeCredit = this->initialCredit(order);
        // What an earlier roll-out established stays in use until the store's record is known.
        if (known)
            rollout.previous
                = known->phase == RolloutPhase::Completed ? std::vector { known->order.target } : known->previous;
        std::erase(rollout.previous, order.target);
        Rollout& entry = this->rollouts[order.service] = std::move(rollout);
        this->enter(entry, RolloutPhase::Loading, now, actions);
    }
    for (auto& [service, rollout] : this->rollouts) {
        if (!ordered.contains(service) && !rollout.isSettled() && rollout.phase != RolloutPhase::Condemned)
            this->condemn(rollout, "order withdrawn", now, actions);
    }
}

void RolloutTracker::rolloutsRead(const RolloutsRead& event, Instant now, GatewayActions& actions)
{
    this->storeClock = { event.storeTime, now };
    for (auto& entry : this->rollouts) {
        Rollout& rollout = entry.second;
        const auto found = std::find_if(event.rollouts.begin(), event.rollouts.end(),
            [&](const StoredRollout& stored) { return stored.record.service == entry.first; });
        const StoredRollout* stored = found == event.rollouts.end() ? nullptr : &*found;
        rollout.nextWriteAt = now;
        if (rollout.phase == RolloutPhase::Loading)
            this->load(rollout, stored, event.storeTime, now, actions);
        else if (stored)
            this->adopt(rollout, *stored, now, actions);
    }
}

void RolloutTracker::load(
    Rollout& rollout, const StoredRollout* stored, StoreTime storeTime, Instant now, GatewayActions& actions)
{
    // Until the endpoints are known, so are not the versions that serve now.
    if (!this->freshness.age(StoreSection::Endpoints, now)) {
        rollout.nextReadAt = now + callRetryDelay;
        return;
    }
    const bool isContinued = stored && stored->record.target == rollout.order.target;
    if (isContinued) {
        rollout.previous = stored->record.previous;
        rollout.orderedAt = std::min(rollout.orderedAt, now - (storeTime - stored->record.orderedAt));
        if (rollout.elapsed(now) > youngOrderAge)
            rollout.heldUntil = now + joiningTime;
    } else if (stored)
        rollout.previous = establishedBy(stored->record);
    std::erase(rollout.previous, rollout.order.target);
    if (rollout.previous.empty())
        rollout.previous = this->endpoints.otherVersions(rollout.order);
    rollout.rowVersion = stored ? stored->version : StoreVersion();
    rollout.isRecorded = isContinued;
    if (isContinued && stored->record.state != RolloutState::InProgress)
        return this->settle(rollout, stored->record.state, now, actions);
    if (rollout.order.duration <= Milliseconds(0))
        return this->condemn(rollout, "the order states no usable duration", now, actions);
    const bool isEstablished = rollout.previous.empty() && this->endpoints.haveOnlyTarget(rollout.order);
    this->enter(rollout, isEstablished ? RolloutPhase::Shifting : RolloutPhase::Observing, now, actions);
}

void RolloutTracker::adopt(Rollout& rollout, const StoredRollout& stored, Instant now, GatewayActions& actions)
{
    rollout.rowVersion = stored.version;
    rollout.isRecorded = stored.record.target == rollout.order.target;
    // A gateway that knows of a later order has recorded it, and this one is about to read it.
    rollout.isSuperseded = !rollout.isRecorded && stored.record.orderedAt > this->orderTime(rollout);
    if (rollout.isRecorded && rollout.previous.empty())
        rollout.previous = stored.record.previous;
    if (rollout.isRecorded && stored.record.state != RolloutState::InProgress)
        this->settle(rollout, stored.record.state, now, actions);
}

void RolloutTracker::stored(const RolloutStored& event, Instant now, GatewayActions& actions)
{
    if (Rollout* rollout = this->find(event.rollout.record.service)) {
        rollout->nextWriteAt = now;
        this->adopt(*rollout, event.rollout, now, actions);
    }
}

void RolloutTracker::storeFailed(const RolloutStoreFailed& event, Instant now, GatewayActions& actions)
{
    actions.emplace_back(LogEvent { "rollout_store_failed", { { "reason", event.reason } } });
    for (auto& [service, rollout] : this->rollouts) {
        const Instant next = now + callRetryDelay * (1 + this->peers.rank(rollout, now) * 2);
        rollout.nextWriteAt = std::min(rollout.nextWriteAt, next);
        rollout.nextReadAt = std::min(rollout.nextReadAt, next);
    }
}

void RolloutTracker::merge(Incarnation incarnation, const std::optional<GatewayId>& sender,
    const std::vector<RolloutReport>& reports, Instant now, GatewayActions& actions)
{
    if (sender && !reports.empty())
        this->peers.recordHeard(*sender, now);
    for (const RolloutReport& report : reports) {
        const auto found = std::find_if(this->rollouts.begin(), this->rollouts.end(),
            [&](const auto& entry) { return rolloutHashOf(entry.second.order) == report.rollout; });
        if (found == this->rollouts.end())
            continue;
        Rollout& rollout = found->second;
        rollout.evidence.merge(incarnation, report);
        rollout.isRecorded = rollout.isRecorded || report.isRecorded;
        if (!rollout.isSettled())
            rollout.orderedAt = std::min(rollout.orderedAt, now - report.elapsed);
        (this->*stepOf(report.signal))(rollout, now, actions);
    }
}

void RolloutTracker::heardInProgress(Rollout& rollout, Instant, GatewayActions&) { rollout.heldUntil = Instant {}; }

void RolloutTracker::heardCondemned(Rollout& rollout, Instant now, GatewayActions& actions)
{
    if (!rollout.isSettled() && rollout.phase != RolloutPhase::Condemned)
        this->condemn(rollout, "another gateway's verdict", now, actions);
}

void RolloutTracker::heardReverted(Rollout& rollout, Instant now, GatewayActions& actions)
{
    this->settle(rollout, RolloutState::Reverted, now, actions);
}

void RolloutTracker::heardCompleted(Rollout& rollout, Instant now, GatewayActions& actions)
{
    this->settle(rollout, RolloutState::Completed, now, actions);
}

void RolloutTracker::settle(Rollout& rollout, RolloutState state, Instant now, GatewayActions& actions)
{
    const RolloutPhase phase = state == RolloutState::Completed ? RolloutPhase::Completed : RolloutPhase::Reverted;
    if (rollout.isSettled())
        return;
    rollout.settledAt = now;
    this->enter(rollout, phase, now, actions);
}

void RolloutTracker::condemn(
    Rollout& rollout, const std::string& reason, Instant now, GatewayActions& actions, std::vector<LogField> details)
{
    details.insert(details.begin(), { "reason", reason });
    rollout.decidedAt = now;
    if (rollout.previous.empty())
        rollout.previous = this->endpoints.otherVersions(rollout.order);
    this->enter(rollout, RolloutPhase::Condemned, now, actions, std::move(details));
}

void RolloutTracker::applyRule(const Rollout& rollout)
{
    const PhaseRules& rules = rulesOf(rollout.phase);
    VersionRule rule { { rollout.previous.begin(), rollout.previous.end() }, true };
    if (!rules.allowsPrevious)
        rule.listed.clear();
    // Whatever becomes of an order for the version that serves already, that version goes on.
    if (rules.allowsTarget || (rollout.previous.empty() && this->endpoints.haveOnlyTarget(rollout.order)))
        rule.listed.insert(rollout.order.target);
    if (rule.listed.empty())
        rule = { { rollout.order.target }, false };
    this->directory.setVersionRule(rollout.order.service, std::move(rule));
}

void RolloutTracker::enter(
    Rollout& rollout, RolloutPhase phase, Instant now, GatewayActions& actions, std::vector<LogField> details)
{
    const RolloutPhase before = std::exchange(rollout.phase, phase);
    const PhaseRules& rules = rulesOf(phase);
    this->applyRule(rollout);
    if (phase == RolloutPhase::Shifting) {
        const auto leaving = this->endpoints.previous(rollout);
        this->moves.leaving.insert(this->moves.leaving.end(), leaving.begin(), leaving.end());
    } else if (before == RolloutPhase::Shifting && phase != RolloutPhase::Completed) {
        const auto staying = this->endpoints.previous(rollout);
        this->moves.staying.insert(this->moves.staying.end(), staying.begin(), staying.end());
    }
    LogEvent line = rolloutLogEvent("rollout", rollout, now);
    line.fields.push_back({ "phase", std::string(rules.name) });
    const auto requests = rollout.evidence.requests(0);
    line.fields.push_back({ "requests", std::to_string(static_cast<std::uint64_t>(requests.total)) });
    line.fields.push_back({ "to_new", std::to_string(static_cast<std::uint64_t>(requests.toTarget)) });
    line.fields.insert(line.fields.end(), details.begin(), details.end());
    actions.emplace_back(std::move(line));
}

void RolloutTracker::tick(Instant now, GatewayActions& actions)
{
    for (auto& [service, rollout] : this->rollouts)
        (this->*rulesOf(rollout.phase).step)(rollout, now, actions);
}

void RolloutTracker::stepLoading(Rollout& rollout, Instant now, GatewayActions& actions)
{
    // The endpoints may have been read after the order.
    this->applyRule(rollout);
    this->readIfDue(rollout, callTimeout, now, actions);
}

bool RolloutTracker::condemnIfBad(
    Rollout& rollout, const RolloutConfidence& confidence, Instant now, GatewayActions& actions)
{
    if (now < rollout.nextJudgedAt)
        return false;
    rollout.nextJudgedAt = now + judgingInterval;
    rollout.evidence.remember(now);
    const std::size_t targetCount = this->endpoints.targets(rollout).size();
    const RolloutJudge all(rollout.evidence.counts(), targetCount);
    auto suspects = all.suspects();
    // Whether the endpoint or the version is in trouble is found out at once, and not in a later window.
    if (suspects.size() > rollout.suspects.size())
        rollout.confirmUntil = rollout.evidence.requests(0).toTarget + confirmingProbes;
    rollout.suspects = std::move(suspects);
    auto fault = all.fault(confidence);
    if (!fault)
        fault = RolloutJudge(rollout.evidence.recentCounts(), targetCount).fault(confidence);
    if (fault)
        this->condemn(rollout, "bad answers", now, actions, fieldsOf(*fault));
    return fault.has_value();
}

void RolloutTracker::stepObserving(Rollout& rollout, Instant now, GatewayActions& actions)
{
    if (rollout.previous.empty()) {
        rollout.previous = this->endpoints.otherVersions(rollout.order);
        if (!rollout.previous.empty())
            this->enter(rollout, RolloutPhase::Observing, now, actions);
    }
    this->chooseProbes(rollout, now);
    if (this->condemnIfBad(rollout, observingConfidence, now, actions))
        return;
    if (!rollout.isRecorded)
        this->write(rollout, RolloutState::InProgress, firstWriteStep, now, actions);
    this->readIfDue(rollout, this->limits.rollbackLimit / readsPerRollbackLimit, now, actions);
    const RolloutProgress progress = progressOf(rollout, now);
    const bool isEarlyEnough = rollout.hasStreams && progress.elapsed >= RolloutPlan::earliestShift(progress.duration)
        && this->plan.hasRoomForShift(progress);
    if (!isEarlyEnough && progress.elapsed < RolloutPlan::shiftDue(progress.duration))
        return;
    const std::string shortcoming = this->shortcoming(rollout, now);
    if (shortcoming.empty())
        return this->enter(rollout, RolloutPhase::Shifting, now, actions);
    if (progress.elapsed >= RolloutPlan::decisionDue(progress.duration))
        this->condemn(rollout, shortcoming, now, actions);
}

void RolloutTracker::stepShifting(Rollout& rollout, Instant now, GatewayActions& actions)
{
    if (this->condemnIfBad(rollout, shiftingConfidence, now, actions))
        return;
    this->readIfDue(rollout, this->limits.rollbackLimit / readsPerRollbackLimit, now, actions);
    const RolloutProgress progress = progressOf(rollout, now);
    const bool isDrained = rollout.evidence.requests(this->endpoints.runsAtPrevious(rollout)).runsAtPrevious == 0;
    const Milliseconds due
        = isDrained ? RolloutPlan::completionDue(progress.duration) : RolloutPlan::latestCompletion(progress.duration);
    if (!rollout.previous.empty() && progress.elapsed < due)
        return;
    if (rollout.decidedAt == Instant {})
        rollout.decidedAt = now;
    this->write(rollout, RolloutState::Completed, finalWriteStep, now, actions);
}

void RolloutTracker::stepCondemned(Rollout& rollout, Instant now, GatewayActions& actions)
{
    this->write(rollout, RolloutState::Reverted, finalWriteStep, now, actions);
}

void RolloutTracker::stepSettled(Rollout&, Instant, GatewayActions&) { }

void RolloutTracker::write(
    Rollout& rollout, RolloutState state, Milliseconds step, Instant now, GatewayActions& actions)
{
    // The record holds the time of the order on the store's clock, which a read tells.
    if (!this->storeClock)
        return this->readIfDue(rollout, callTimeout, now, actions);
    const Instant decidedAt = state == RolloutState::InProgress ? rollout.orderedAt : rollout.decidedAt;
    if (rollout.isSuperseded || now < rollout.nextWriteAt || now < decidedAt + step * this->peers.rank(rollout, now))
        return;
    rollout.nextWriteAt = now + callTimeout;
    const RolloutRecord record { rollout.order.service, rollout.order.target, rollout.previous, state,
        this->orderTime(rollout) };
    actions.emplace_back(WriteRollout { record, rollout.rowVersion });
}

StoreTime RolloutTracker::orderTime(const Rollout& rollout) const
{
    return this->storeClock->first
        + std::chrono::duration_cast<Milliseconds>(rollout.orderedAt - this->storeClock->second);
}

void RolloutTracker::readIfDue(Rollout& rollout, Milliseconds interval, Instant now, GatewayActions& actions)
{
    if (now < rollout.nextReadAt)
        return;
    const Milliseconds elapsed = rollout.elapsed(now);
    const bool isOverdue = elapsed > rollout.order.duration + overdueTime;
    const bool isNeeded = rollout.phase == RolloutPhase::Loading || !this->storeClock || isOverdue
        || (elapsed > this->peers.silence() && this->peers.isCutOff(now));
    if (!isNeeded)
        return;
    rollout.nextReadAt = now + (isOverdue ? overdueReadInterval : interval);
    actions.emplace_back(ReadRollouts {});
}

void RolloutTracker::recordSuspension(Instant now)
{
    for (auto& [service, rollout] : this->rollouts) {
        rollout.heldUntil = now + joiningTime;
        rollout.nextReadAt = now;
    }
}

std::vector<RolloutReport> RolloutTracker::reports(Instant now) const
{
    std::vector<RolloutReport> reports;
    for (const auto& [service, rollout] : this->rollouts) {
        if (rollout.phase == RolloutPhase::Loading
            || (rollout.isSettled() && now - rollout.settledAt > settledTellingTime))
            continue;
        RolloutReport report;
        report.rollout = rolloutHashOf(rollout.order);
        report.signal = rulesOf(rollout.phase).signal;
        report.isRecorded = rollout.isRecorded;
        report.elapsed = rollout.elapsed(now);
        report.runsAtPrevious = this->endpoints.runsAtPrevious(rollout);
        if (!rollout.isSettled())
            rollout.evidence.describe(report);
        reports.push_back(std::move(report));
    }
    return reports;
}

RolloutProgress RolloutTracker::progressOf(const Rollout& rollout, Instant now)
{
    const auto requests = rollout.evidence.requests(0);
    return { rollout.elapsed(now), rollout.order.duration, requests.total, requests.toTarget };
}

void RolloutTracker::chooseProbes(Rollout& rollout, Instant now) const
{
    std::vector<std::pair<std::uint64_t, EndpointId>> order;
    for (const GatewayEndpoint* endpoint : this->endpoints.targets(rollout)) {
        if (!rollout.suspects.contains(endpoint->idHash))
            order.emplace_back(hashOf(endpoint->record.id.get()), endpoint->record.id);
    }
    std::sort(order.begin(), order.end());
    rollout.probes.clear();
    rollout.probeShare = 0;
    const RolloutProgress progress = progressOf(rollout, now);
    const Milliseconds windowTime = rollout.hasStreams ? engineProbeWindowTime : probeWindowTime;
    if (order.empty() || now < rollout.heldUntil || !this->plan.hasRoomForProbe(progress))
        return;
    const auto index = RolloutPlan::windowIndex(progress, windowTime);
    if (std::exchange(rollout.windowIndex, index) != index)
        rollout.window = this->plan.probeWindow(progress, order.size(), windowTime);
    rollout.probeShare = rollout.window.share;
    if (progress.requestsToTarget < rollout.confirmUntil)
        rollout.probeShare = std::max(rollout.probeShare, RolloutPlan::shareOfOne(order.size()));
    for (std::size_t each = 0; each < std::max<std::size_t>(rollout.window.endpointCount, 1); ++each)
        rollout.probes.insert(order[(rollout.window.firstEndpoint + each) % order.size()].second);
}

std::string RolloutTracker::shortcoming(const Rollout& rollout, Instant now) const
{
    if (!this->endpoints.canTakeAll(rollout, now))
        return "too few endpoints";
    const RolloutJudge judge(rollout.evidence.counts(), this->endpoints.targets(rollout).size());
    return judge.hasEnoughAnswers(RolloutPlan::minAnswers(progressOf(rollout, now))) ? "" : "too few answers";
}

}
