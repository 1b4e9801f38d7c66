#pragma once

#include "core/agent/AgentControlState.h"
#include "core/agent/AgentDecisions.h"
#include "core/agent/CallAdmissionBuilder.h"
#include "core/agent/CallTable.h"
#include "core/agent/FairQueue.h"
#include "core/agent/IdempotencyClaims.h"
#include "core/agent/InstanceListPoller.h"

namespace teaselfold {

/**
 * Admission control and execution of the calls to one plain service. A call that must not be repeated runs at most
 * once.
 */
class CallAdmission : public AgentDecisions {
public:
    std::vector<AgentAction> handle(const AgentEvent& event, Instant now) override;
    bool ready() const override { return !this->controlState.refusesWork(); }

    /** @return number of calls that hold one of the service's concurrency slots. */
    std::size_t activeCount() const { return this->active; }

private:
    friend class CallAdmissionBuilder;
    explicit CallAdmission(const CallAdmissionBuilder& builder);

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

    std::optional<ErrorCode> refusalCode(const SubmitCall& message, Instant now) const;
    void startQueued(Instant now);
    void startCall(Call& call, Instant now);
    void forward(Call& call, Instant now);
    void applyClaimResults(const std::vector<ClaimResult>& results, Instant now);
    void onClaimAcquired(const ClaimAcquired& result, Instant now);
    void onClaimReplayed(const ClaimReplayed& result, Instant now);
    void onClaimRefused(const ClaimRefused& result, Instant now);
    void onServiceResponded(Call& call, const ServiceResponded& answer, Instant now);
    void onServiceCallFailed(Call& call, Executed run, Instant now);
    /** Sends each answer whose record was stored or took too long to be stored. */
    void sendRecordedAnswers(Instant now);
    void fail(Call& call, const Failure& failure, Instant now);
    void answer(Call& call, AgentMessage message, Instant now);
    void releaseSlot(Call& call);
    void failExpired(Instant now);
    void reportLoad(Instant now);
    Duration expectedWait() const;

    AgentLimits limits;
    Incarnation incarnation;
    AgentControlState controlState;
    InstanceListPoller instanceListPoller;
    IdempotencyClaims claims;
    CallTable table;
    FairQueue queue;
    std::size_t active { 0 };
    /** Moving average of the run time of a call; zero until the first answer. */
    Duration meanRunTime { 0 };
    std::optional<Instant> stoppingSince;
    bool drainedSent { false };
    std::vector<AgentAction> actions;
};

}
