#pragma once

#include "core/entry/Router.h"
#include "ports/ControlPorts.h"
#include "ports/EntryInterfaces.h"
#include "runtime/Duty.h"

#include <atomic>
#include <functional>
#include <memory>

namespace teaselfold {

/** What the router duty acts on. All must outlive the duty. */
struct RouterDutyPorts {
    AgentLinks& links;
    Callers& callers;
    Telemetry& telemetry;
    Ring<ControlEvent>& control;
    /** Called with each newer configuration before the router acts on it; may be empty. */
    std::function<void(const Fleet&)> fleetChanged;
    /** Called once when no request is in progress after a stop; may be empty. */
    std::function<void()> drained;
};

/** The thread of an entry's data path. */
class RouterDuty : private DutyHandler<RouterEvent> {
public:
    /** @param router the decisions; owned by the duty from here on. */
    explicit RouterDuty(std::unique_ptr<Router> router);
    ~RouterDuty() override { this->stop(); }

    /** The ring for callers' requests, agents' messages and the control duty's news. */
    Ring<RouterEvent>& ring() { return this->duty.ring(); }
    /** Starts the thread. */
    void start(RouterDutyPorts ports);
    /** Handles what is in the ring and ends the thread. Idempotent. */
    void stop() { this->duty.stop(); }
    /** @return whether new work is taken. Safe to call from any thread. */
    bool isReady() const { return this->ready.load(); }

    void onToAgent(const ToAgent& action);
    void onToCaller(const ToCaller& action);
    void onOpenLink(const OpenLink& action);
    void onCloseLink(const CloseLink& action);
    void onToControl(const ToControl& action);
    void onSuspectsTold(const SuspectsTold& action);
    void onSuspectReleased(const SuspectReleased& action);
    void onLog(const LogEvent& action);
    void onObservation(const Observation& action);
    void onDrained(const Drained& action);

private:
    void handle(const RouterEvent& event, Instant now) override;
    void tick(Instant now) override;

    std::unique_ptr<Router> router;
    std::optional<RouterDutyPorts> ports;
    std::atomic<bool> ready { false };
    Duty<RouterEvent> duty;
};

}
