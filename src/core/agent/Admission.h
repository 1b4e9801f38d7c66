#pragma once

#include "core/agent/AdmissionBuilder.h"
#include "core/agent/AgentDecisions.h"
#include "core/agent/AgentKnowledge.h"
#include "core/agent/EngineOrders.h"
#include "core/agent/EngineOutlook.h"
#include "core/agent/EngineSupervisor.h"
#include "core/agent/FairQueue.h"
#include "core/agent/LeavingWatch.h"

namespace teaselfold {

/** Decides for one model engine what is queued, started, streamed and refused. Has no thread and no clock. */
class Admission : public AgentDecisions {
public:
    std::vector<AgentAction> handle(const AgentEvent& event, Instant now) override;
    bool ready() const override { return !this->knowledge.takesNoWork(); }

    /** @return generations that wait, for tests and figures. */
    std::size_t queuedCount() const { return this->table.queuedCount(); }
    /** @return generations handed to the engine and not ended. */
    std::size_t runningCount() const { return this->table.running().size(); }
    /** @return whether the endpoint counts as cold. */
    bool cold() const { return this->profile.cold(); }

private:
    friend class AdmissionBuilder;
    explicit Admission(const AdmissionBuilder& builder);

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

    std::optional<ErrorCode> refusalOf(const SubmitGeneration& message, Instant now);
    void queueOrRefuse(const SubmitGeneration& message, const EntryId& entry, Instant now);
    void refuse(const EntryId& entry, GenerationId id, const CompletionWork& work, ErrorCode code,
        Milliseconds retryAfter, Instant now);
    void refuseQueued(Generation& generation, ErrorCode code, Milliseconds retryAfter, Instant now);
    void requeue(const std::vector<GenerationId>& refused, Instant now);
    void startWaiting(Instant now);
    bool startNext(const QueueItem& item, EngineContext& context);
    void checkDeadlines(Instant now);
    void checkOne(Generation& generation, Instant now);
    void checkModels(const EngineReport& report);
    void reportLoad(Instant now);
    Milliseconds retryAfter(Duration wait);
    EngineOutlook outlook(Instant now);
    EngineContext engineContext(Instant now);
    void finishEngineContext(EngineContext& context);

    AdmissionLimits limits;
    Incarnation incarnation;
    /** Spreads retries; null when they need no spreading. */
    Randomness* randomness { nullptr };
    AgentKnowledge knowledge;
    LeavingWatch leavingWatch;
    GenerationTable table;
    EngineProfile profile;
    EngineSupervisor supervisor;
    EngineOrders orders;
    FairQueue queue;
    std::vector<AgentAction> actions;
    bool drainedSent { false };
};

}
