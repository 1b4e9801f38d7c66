#pragma once

#include "core/control/ConfigurationKeeper.h"
#include "ports/ControlInterfaces.h"
#include "ports/EntryInterfaces.h"
#include "runtime/Duty.h"

#include <atomic>
#include <optional>
#include <vector>

namespace teaselfold {

/** What the control duty acts on. All must outlive the duty. */
struct ControlDutyPorts {
    Platform& platform;
    Ring<RouterEvent>& router;
    Admins& admins;
    Telemetry& telemetry;
};

/** The thread that keeps the configuration and the service orders of an entry. */
class ControlDuty : private DutyHandler<ControlEvent> {
public:
    /** @param keeper the decisions; owned by the duty from here on. */
    explicit ControlDuty(ConfigurationKeeper decisions);
    ~ControlDuty() override { this->stop(); }

    /** The ring for operators' requests, peers' knowledge and the platform's replies. */
    Ring<ControlEvent>& ring() { return this->duty.ring(); }

    /** Starts the thread. */
    void start(const ControlDutyPorts& ports);

    /** Ends the thread. Idempotent. */
    void stop() { this->duty.stop(); }

    /** @return whether a configuration is in force. Safe to call from any thread. */
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
    /** Tells the keeper of the operations that the platform adapter had no room for. */
    void failRejectedOperations(Instant now);
    void flushToRouter();
    /** Passes an operator's question on, or tells the operator that the router's ring is full. */
    void forwardQuery(AdminId admin, const RouterEvent& event);

    ConfigurationKeeper decisions;
    std::optional<ControlDutyPorts> ports;
    /** The newest of each kind that the router's ring had no room for. */
    std::optional<FleetChanged> pendingFleet;
    std::optional<OrdersChanged> pendingOrders;
    std::optional<InstancesListed> pendingInstances;
    std::vector<OperationId> rejectedOperations;
    std::atomic<bool> ready { false };
    Duty<ControlEvent> duty;
};

}
