#include "runtime/ControlDuty.h"

#include "core/common/HandlerTable.h"

namespace teaselfold {

namespace {

    constexpr std::size_t ringCapacity = 4096;
    constexpr Milliseconds tickPeriod(100);

    /** Moves a pending event, if there is one, into a ring. @return whether no event is left pending. */
    template <typename Event> bool flush(std::optional<Event>& pending, Ring<RouterEvent>& ring)
    {
        if (pending && ring.tryPush(*pending))
            pending.reset();
        return !pending;
    }

}

struct ControlDuty::ActionTable {
    static constexpr HandlerTable<ControlDuty, void, ControlAction> table { &ControlDuty::onToAdmin,
        &ControlDuty::onToPlatform, &ControlDuty::onToRouter, &ControlDuty::onLog };
};

ControlDuty::ControlDuty(ConfigurationController controller)
    : controller(std::move(controller))
    , duty("control", ringCapacity, tickPeriod)
{
}

void ControlDuty::start(const ControlDutyPorts& newPorts)
{
    this->ports.emplace(newPorts);
    this->duty.start(*this);
}

void ControlDuty::handle(const ControlEvent& event, Instant now)
{
    this->apply(this->controller.handle(event, now));
    this->failRejectedOperations(now);
}

void ControlDuty::tick(Instant now)
{
    this->handle(ControlTick {}, now);
    this->flushToRouter();
}

void ControlDuty::apply(const std::vector<ControlAction>& actions)
{
    for (const ControlAction& action : actions)
        ActionTable::table.dispatch(*this, action);
    this->ready.store(this->controller.isReady());
}

void ControlDuty::failRejectedOperations(Instant now)
{
    std::vector<OperationId> rejected;
    rejected.swap(this->rejectedOperations);
    for (const OperationId operation : rejected) {
        const PlatformReply reply { operation, PlatformUnavailable { false } };
        this->apply(this->controller.handle(ControlPlatformReply { reply }, now));
    }
}

void ControlDuty::onToAdmin(const ToAdmin& action) { this->ports->admins.deliver(action.admin, action.message); }

void ControlDuty::onToPlatform(const ControlToPlatform& action)
{
    if (!this->ports->platform.submit(action.operation))
        this->rejectedOperations.push_back(action.operation.operation);
}

void ControlDuty::onToRouter(const ToRouter& action)
{
    if (const auto* fleet = std::get_if<FleetChanged>(&action.event))
        this->pendingFleet = *fleet;
    if (const auto* orders = std::get_if<OrdersChanged>(&action.event))
        this->pendingOrders = *orders;
    if (const auto* instances = std::get_if<InstancesListed>(&action.event))
        this->pendingInstances = *instances;
    if (const auto* query = std::get_if<QuerySuspects>(&action.event))
        this->forwardAdminRequest(query->admin, *query);
    if (const auto* release = std::get_if<ReleaseSuspect>(&action.event))
        this->forwardAdminRequest(release->admin, *release);
    this->flushToRouter();
}

void ControlDuty::onLog(const LogEvent& action) { this->ports->telemetry.log(action); }

void ControlDuty::forwardAdminRequest(AdminRequestId admin, const RouterEvent& event)
{
    if (this->ports->router.tryPush(event))
        return;
    this->ports->admins.deliver(
        admin, Failure { ErrorCode::NoCapacity, "the entry is too busy to answer", Executed::No, Seconds(1) });
}

void ControlDuty::flushToRouter()
{
    Ring<RouterEvent>& ring = this->ports->router;
    flush(this->pendingFleet, ring) && flush(this->pendingOrders, ring) && flush(this->pendingInstances, ring);
}

}
