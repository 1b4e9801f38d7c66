#pragma once

#include "core/agent/AdmissionControllerBuilder.h"
#include "core/agent/AgentControlState.h"
#include "core/agent/AgentDecisions.h"
#include "core/agent/EngineForecast.h"
#include "core/agent/EngineSupervisor.h"
#include "core/agent/FairQueue.h"
#include "core/agent/InstanceListPoller.h"
#include "core/agent/ModelReconciler.h"

namespace teaselfold {

/**
 * Admission control of one model engine: decides which generations are queued, started, streamed and refused. Has no
 * thread and no clock; time is passed in with each event.
 */
class AdmissionController : public AgentDecisions {
public:
    std::vector<AgentAction> handle(const AgentEvent& event, Instant now) override;
    bool ready() const override { return !this->controlState.refusesWork(); }

    /** @return number of queued generations, for tests and measurements. */
    std::size_t queuedCount() const { return this->table.queuedCount(); }
    /** @return number of generations that were sent to the engine and have not ended. */
    std::size_t runningCount() const { return this->table.running().size(); }
    /** @return true while the endpoint is treated as cold. */
    bool isCold() const { return this->profile.isCold(); }

private:
    friend class AdmissionControllerBuilder;
    explicit AdmissionController(const AdmissionControllerBuilder& builder);

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

    std::optional<ErrorCode> refusalCode(const SubmitGeneration& message, Instant now);
    void queueOrRefuse(const SubmitGeneration& message, const EntryId& entry, Instant now);
    void refuse(const EntryId& entry, GenerationId id, const CompletionWork& work, ErrorCode code,
        Milliseconds retryAfter, Instant now);
    void refuseQueued(Generation& generation, ErrorCode code, Milliseconds retryAfter, Instant now);
    void requeue(const std::vector<GenerationId>& refused, Instant now);
    void startQueued(Instant now);
    /** @return false when the item cannot start yet and stays queued. */
    bool startOrRefuse(const QueueItem& item, EngineContext& context);
    /** Ends the generations whose deadline has passed or that no entry resumed in time. */
    void endExpired(Instant now);
    void endIfExpired(Generation& generation, Instant now);
    void checkLoadedModels(const EngineReport& report);
    void reportLoad(Instant now);
    Milliseconds retryAfter(Duration wait);
    EngineForecast forecast(Instant now);
    EngineContext engineContext(Instant now);
    void applyEngineResults(EngineContext& context);

    AgentLimits limits;
    Incarnation incarnation;
    /** Source of jitter for retry delays; null for none. */
    Randomness* randomness { nullptr };
    AgentControlState controlState;
    InstanceListPoller instanceListPoller;
    GenerationTable table;
    EngineProfile profile;
    EngineSupervisor supervisor;
    ModelReconciler modelReconciler;
    FairQueue queue;
    std::vector<AgentAction> actions;
    bool drainedSent { false };
};

}
