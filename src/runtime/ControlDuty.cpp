#include "runtime/ControlDuty.h"

#include "core/common/HandlerTable.h"

namespace teaselfold {

namespace {

    constexpr std::size_t ringCapacity = 4096;
    constexpr Milliseconds tickPeriod(100);

    /** Moves an event into a ring. @return whether nothing is left to move. */
    template <typename Event> bool flush(std::optional<Event>& waiting, Ring<RouterEvent>& ring)
    {
        if (waiting && ring.tryPush(*waiting))
            waiting.reset();
        return !waiting;
    }

}

struct ControlDuty::ActionTable {
    static constexpr HandlerTable<ControlDuty, void, ControlAction> table { &ControlDuty::onToAdmin,
        &ControlDuty::onToPlatform, &ControlDuty::onToRouter, &ControlDuty::onLog };
};

ControlDuty::ControlDuty(ConfigurationController keeper)
    : keeper(std::move(keeper))
    , duty("control", ringCapacity, tickPeriod)
{
}

void ControlDuty::start(const ControlPeers& newPeers)
{
    this->peers.emplace(newPeers);
    this->duty.start(*this);
}

void ControlDuty::handle(const ControlEvent& event, Instant now)
{
    this->apply(this->keeper.handle(event, now));
    this->refuseOperations(now);
}

void ControlDuty::tick(Instant now)
{
    this->handle(ControlTick {}, now);
    this->passToRouter();
}

void ControlDuty::apply(const std::vector<ControlAction>& actions)
{
    for (const ControlAction& action : actions)
        ActionTable::table.dispatch(*this, action);
    this->ready.store(this->keeper.isReady());
}

void ControlDuty::refuseOperations(Instant now)
{
    std::vector<OperationId> refused;
    refused.swap(this->refusedOperations);
    for (const OperationId operation : refused) {
        const PlatformReply reply { operation, PlatformUnavailable { false } };
        this->apply(this->keeper.handle(ControlPlatformReply { reply }, now));
    }
}

void ControlDuty::onToAdmin(const ToAdmin& action) { this->peers->admins.deliver(action.admin, action.message); }

void ControlDuty::onToPlatform(const ControlToPlatform& action)
{
    if (!this->peers->platform.submit(action.operation))
        this->refusedOperations.push_back(action.operation.operation);
}

void ControlDuty::onToRouter(const ToRouter& action)
{
    if (const auto* fleet = std::get_if<FleetChanged>(&action.event))
        this->waitingFleet = *fleet;
    if (const auto* orders = std::get_if<OrdersChanged>(&action.event))
        this->waitingOrders = *orders;
    if (const auto* instances = std::get_if<InstancesListed>(&action.event))
        this->waitingInstances = *instances;
    if (const auto* query = std::get_if<QuerySuspects>(&action.event))
        this->passQuestion(query->admin, *query);
    if (const auto* release = std::get_if<ReleaseSuspect>(&action.event))
        this->passQuestion(release->admin, *release);
    this->passToRouter();
}

void ControlDuty::onLog(const LogEvent& action) { this->peers->telemetry.log(action); }

void ControlDuty::passQuestion(AdminRequestId admin, const RouterEvent& event)
{
    if (this->peers->router.tryPush(event))
        return;
    this->peers->admins.deliver(
        admin, Failure { ErrorCode::NoCapacity, "the entry is too busy to answer", Executed::No, Seconds(1) });
}

void ControlDuty::passToRouter()
{
    Ring<RouterEvent>& ring = this->peers->router;
    flush(this->waitingFleet, ring) && flush(this->waitingOrders, ring) && flush(this->waitingInstances, ring);
}

}
