#pragma once

#include "core/control/ConfigurationController.h"
#include "ports/ControlInterfaces.h"
#include "ports/EntryInterfaces.h"
#include "runtime/Duty.h"

#include <atomic>
#include <optional>
#include <vector>

namespace teaselfold {

/** Outbound ports of the control duty. All must outlive the duty. */
struct ControlDutyPorts {
    Platform& platform;
    Ring<RouterEvent>& router;
    Admins& admins;
    Telemetry& telemetry;
};

/** The thread that runs an entry's control plane: its configuration and service orders. */
class ControlDuty : private DutyHandler<ControlEvent> {
public:
    /** @param controller the core object, owned by the duty. */
    explicit ControlDuty(ConfigurationController controller);
    ~ControlDuty() override { this->stop(); }

    /** @return the ring for requests of operators, configuration data from agents and replies from the platform. */
    Ring<ControlEvent>& ring() { return this->duty.ring(); }

    /** Starts the thread. */
    void start(const ControlDutyPorts& ports);

    /** Handles the events left in the ring and ends the thread. Idempotent. */
    void stop() { this->duty.stop(); }

    /** @return whether a configuration is loaded. Safe to call from any thread. */
    bool isReady() const { return this->ready.load(); }

private:
    struct ActionTable;

    void onToAdmin(const ToAdmin& action);
    void onToPlatform(const ControlToPlatform& action);
    void onToRouter(const ToRouter& action);
    void onLog(const LogEvent& action);

    void handle(const ControlEvent& event, Instant now) override;
    void tick(Instant now) override;
    void apply(const std::vector<ControlAction>& actions);
    /** Replies to the core, for each operation that the platform adapter rejected, that it was not sent. */
    void failRejectedOperations(Instant now);
    /** Moves the pending events into the router's ring until it is full. */
    void flushToRouter();
    /** Forwards an operator's request to the router, or answers it with a Failure if the router's ring is full. */
    void forwardAdminRequest(AdminRequestId admin, const RouterEvent& event);

    ConfigurationController controller;
    std::optional<ControlDutyPorts> ports;
    /** The latest event of each kind that did not fit into the router's ring; older ones are superseded. */
    std::optional<FleetChanged> pendingFleet;
    std::optional<OrdersChanged> pendingOrders;
    std::optional<InstancesListed> pendingInstances;
    std::vector<OperationId> rejectedOperations;
    std::atomic<bool> ready { false };
    Duty<ControlEvent> duty;
};

}
