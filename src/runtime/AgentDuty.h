#pragma once

#include "core/agent/AgentDecisions.h"
#include "ports/AgentInterfaces.h"
#include "ports/EntryInterfaces.h"
#include "runtime/Duty.h"

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace teaselfold {

/** Outbound ports of the agent duty. All must outlive the duty. */
struct AgentDutyPorts {
    EntryLinks& links;
    Platform& platform;
    Telemetry& telemetry;
    /** Null if the agent serves a plain service. */
    Engine* engine { nullptr };
    /** Null if the agent serves a model engine. */
    PlainService* service { nullptr };
    /** Called once after a stop request, when no work is in progress; may be empty. */
    std::function<void()> drained;
};

/** The thread that runs the core of an agent: admission for a model engine, or calls for a plain service. */
class AgentDuty : private DutyHandler<AgentEvent> {
public:
    /** @param decisions the core object, owned by the duty. */
    explicit AgentDuty(std::unique_ptr<AgentDecisions> decisions);
    ~AgentDuty() override { this->stop(); }

    /** @return the ring for messages from entries, events from the endpoint and replies from the platform. */
    Ring<AgentEvent>& ring() { return this->duty.ring(); }
    /** Starts the thread. */
    void start(AgentDutyPorts ports);
    /** Handles the events left in the ring and ends the thread. Idempotent. */
    void stop() { this->duty.stop(); }
    /** @return whether the agent accepts new work. Safe to call from any thread. */
    bool isReady() const { return this->ready.load(); }

    void onToEntry(const ToEntry& action);
    void onToEngine(const ToEngine& action);
    void onToService(const ToService& action);
    void onToPlatform(const ToPlatform& action);
    void onLog(const LogEvent& action);
    void onObservation(const Observation& action);
    void onDrained(const AgentDrained& action);

private:
    void handle(const AgentEvent& event, Instant now) override;
    void tick(Instant now) override;
    void process(const AgentEvent& event, Instant now);
    void handleRejectedCommand(const EngineCommand& command);

    std::unique_ptr<AgentDecisions> decisions;
    std::optional<AgentDutyPorts> ports;
    /** Events that report actions rejected by the adapters; handled before the next event of the ring. */
    std::deque<AgentEvent> rejections;
    /** Cancels that the engine adapter rejected because its queue was full; retried on the next tick. */
    std::vector<EngineCancel> deferredCancels;
    std::atomic<bool> ready { false };
    Duty<AgentEvent> duty;
};

}
