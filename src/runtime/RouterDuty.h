#pragma once

#include "core/entry/Router.h"
#include "ports/ControlPorts.h"
#include "ports/EntryInterfaces.h"
#include "runtime/Duty.h"

#include <atomic>
#include <functional>
#include <memory>

namespace teaselfold {

/** Outbound ports of the router duty. All must outlive the duty. */
struct RouterDutyPorts {
    AgentLinks& links;
    Callers& callers;
    Telemetry& telemetry;
    Ring<ControlEvent>& control;
    /** Called with each new configuration before the router applies it; may be empty. */
    std::function<void(const Fleet&)> fleetChanged;
    /** Called once after a stop request, when no request is in progress; may be empty. */
    std::function<void()> drained;
};

/** The thread that runs the data path of an entry. */
class RouterDuty : private DutyHandler<RouterEvent> {
public:
    /** @param router the core object, owned by the duty. */
    explicit RouterDuty(std::unique_ptr<Router> router);
    ~RouterDuty() override { this->stop(); }

    /** @return the ring for requests of callers, messages from agents and updates from the control duty. */
    Ring<RouterEvent>& ring() { return this->duty.ring(); }
    /** Starts the thread. */
    void start(RouterDutyPorts ports);
    /** Handles the events left in the ring and ends the thread. Idempotent. */
    void stop() { this->duty.stop(); }
    /** @return whether the entry accepts new work. Safe to call from any thread. */
    bool isReady() const { return this->ready.load(); }

    void onToAgent(const ToAgent& action);
    void onToCaller(const ToCaller& action);
    void onOpenLink(const OpenLink& action);
    void onCloseLink(const CloseLink& action);
    void onToControl(const ToControl& action);
    void onSuspectsListed(const SuspectsListed& action);
    void onSuspectReleased(const SuspectReleased& action);
    void onLog(const LogEvent& action);
    void onObservation(const Observation& action);
    void onDrained(const RouterDrained& action);

private:
    void handle(const RouterEvent& event, Instant now) override;
    void tick(Instant now) override;

    std::unique_ptr<Router> router;
    std::optional<RouterDutyPorts> ports;
    std::atomic<bool> ready { false };
    Duty<RouterEvent> duty;
};

}
