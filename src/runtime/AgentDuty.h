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

/** What an agent's duty acts on. All must outlive the duty. */
struct AgentDutyPorts {
    EntryLinks& links;
    Platform& platform;
    Telemetry& telemetry;
    /** Null beside a plain service. */
    Engine* engine { nullptr };
    /** Null beside a model engine. */
    PlainService* service { nullptr };
    /** Called once when nothing is in progress after a stop; may be empty. */
    std::function<void()> drained;
};

/** The thread that decides for one endpoint: admission beside a model engine, calls beside a plain service. */
class AgentDuty : private DutyHandler<AgentEvent> {
public:
    /** @param decisions the core object; owned by the duty from here on. */
    explicit AgentDuty(std::unique_ptr<AgentDecisions> decisions);
    ~AgentDuty() override { this->stop(); }

    /** The ring for entries' messages, the back end's events and the platform's replies. */
    Ring<AgentEvent>& ring() { return this->duty.ring(); }
    /** Starts the thread. */
    void start(AgentDutyPorts ports);
    /** Handles what is in the ring and ends the thread. Idempotent. */
    void stop() { this->duty.stop(); }
    /** @return whether new work is taken. Safe to call from any thread. */
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
    void rejectCommand(const EngineCommand& command);

    std::unique_ptr<AgentDecisions> decisions;
    std::optional<AgentDutyPorts> ports;
    /** What the adapters refused, as events that the decisions see next. */
    std::deque<AgentEvent> rejections;
    /** Cancels that the engine adapter had no room for. */
    std::vector<EngineCancel> deferredCancels;
    std::atomic<bool> ready { false };
    Duty<AgentEvent> duty;
};

}
