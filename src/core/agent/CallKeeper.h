#pragma once

#include "core/agent/AgentDecisions.h"
#include "core/agent/AgentKnowledge.h"
#include "core/agent/CallKeeperBuilder.h"
#include "core/agent/CallTable.h"
#include "core/agent/Claims.h"
#include "core/agent/FairQueue.h"
#include "core/agent/LeavingWatch.h"

namespace teaselfold {

/** Decides for one plain service which calls run, and that a call which must not be repeated runs at most once. */
class CallKeeper : public AgentDecisions {
public:
    std::vector<AgentAction> handle(const AgentEvent& event, Instant now) override;
    bool ready() const override { return !this->knowledge.takesNoWork(); }

    /** @return calls that hold one of the service's places. */
    std::size_t activeCount() const { return this->active; }

private:
    friend class CallKeeperBuilder;
    explicit CallKeeper(const CallKeeperBuilder& builder);

    void onLinked(const EntryLinkUp& event, Instant now);
    void onUnlinked(const EntryLinkDown& event, Instant now);
    void onEntry(const FromEntry& event, Instant now);
    void onEngine(const FromEngine& event, Instant now);
    void onService(const FromService& event, Instant now);
    void onPlatform(const FromPlatform& event, Instant now);
    void onLeaving(const LeavingNotice& event, Instant now);
    void onStop(const AgentStopRequested& event, Instant now);
    void onTick(const AgentTick& event, Instant now);

    void onHello(const EntryHello& message, const EntryId& entry, Instant now);
    void onHeartbeat(const EntryHeartbeat& message, const EntryId& entry, Instant now);
    void onSubmit(const SubmitGeneration& message, const EntryId& entry, Instant now);
    void onCancel(const CancelGeneration& message, const EntryId& entry, Instant now);
    void onResume(const ResumeGeneration& message, const EntryId& entry, Instant now);
    void onAcknowledge(const AcknowledgeTokens& message, const EntryId& entry, Instant now);
    void onCall(const SubmitCall& message, const EntryId& entry, Instant now);
    void onFleetCopy(const FleetCopy& message, const EntryId& entry, Instant now);
    void onNote(const NoteDelivery& message, const EntryId& entry, Instant now);
    void onOrders(const OrdersDelivery& message, const EntryId& entry, Instant now);
    void onQuarantine(const QuarantineDelivery& message, const EntryId& entry, Instant now);
    void onFleetRequest(const FleetRequest& message, const EntryId& entry, Instant now);

    std::optional<ErrorCode> refusalOf(const SubmitCall& message, Instant now) const;
    void startWaiting(Instant now);
    void startOne(Call& call, Instant now);
    void forward(Call& call, Instant now);
    void takeVerdicts(const std::vector<ClaimVerdict>& verdicts, Instant now);
    void onWon(const ClaimWon& verdict, Instant now);
    void onReplayed(const ClaimReplayed& verdict, Instant now);
    void onRefused(const ClaimRefused& verdict, Instant now);
    void onAnswered(Call& call, const ServiceResponded& answer, Instant now);
    void onLost(Call& call, Executed run, Instant now);
    void finishRecorded(Instant now);
    void fail(Call& call, const Failure& failure, Instant now);
    void answer(Call& call, AgentMessage message, Instant now);
    void releasePlace(Call& call);
    void checkDeadlines(Instant now);
    void reportLoad(Instant now);
    Duration expectedWait() const;

    AdmissionLimits limits;
    Incarnation incarnation;
    AgentKnowledge knowledge;
    LeavingWatch leavingWatch;
    Claims claims;
    CallTable table;
    FairQueue queue;
    std::size_t active { 0 };
    /** Smoothed time that a call takes; zero while none ended. */
    Duration meanRun { 0 };
    std::optional<Instant> stoppingSince;
    bool drainedSent { false };
    std::vector<AgentAction> actions;
};

}
