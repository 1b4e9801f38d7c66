#include "runtime/RouterDuty.h"

#include "core/common/HandlerTable.h"

namespace teaselfold {

namespace {

    constexpr std::size_t ringCapacity = 16384;
    constexpr Milliseconds tickPeriod { 100 };

    constexpr HandlerTable<RouterDuty, void, RouterAction> actionTable {
        &RouterDuty::onToAgent,
        &RouterDuty::onToCaller,
        &RouterDuty::onOpenLink,
        &RouterDuty::onCloseLink,
        &RouterDuty::onToControl,
        &RouterDuty::onSuspectsListed,
        &RouterDuty::onSuspectReleased,
        &RouterDuty::onLog,
        &RouterDuty::onObservation,
        &RouterDuty::onDrained,
    };

}

RouterDuty::RouterDuty(std::unique_ptr<Router> router)
    : router(std::move(router))
    , duty("router", ringCapacity, tickPeriod)
{
}

void RouterDuty::start(RouterDutyPorts newPorts)
{
    this->ports.emplace(std::move(newPorts));
    this->duty.start(*this);
}

void RouterDuty::onToAgent(const ToAgent& action) { this->ports->links.send(action.endpoint, action.message); }

void RouterDuty::onToCaller(const ToCaller& action) { this->ports->callers.deliver(action.request, action.message); }

void RouterDuty::onOpenLink(const OpenLink& action) { this->ports->links.open(action.endpoint, action.address); }

void RouterDuty::onCloseLink(const CloseLink& action) { this->ports->links.close(action.endpoint); }

void RouterDuty::onToControl(const ToControl& action)
{
    // Agents repeat this information in each report, so dropping it when the ring is full only delays it.
    this->ports->control.tryPush(PeerUpdate { action.endpoint, action.message });
}

// An answer is dropped if the ring is full; the operator's request then times out and can be repeated.

void RouterDuty::onSuspectsListed(const SuspectsListed& action) { this->ports->control.tryPush(action); }

void RouterDuty::onSuspectReleased(const SuspectReleased& action) { this->ports->control.tryPush(action); }

void RouterDuty::onLog(const LogEvent& action) { this->ports->telemetry.log(action); }

void RouterDuty::onObservation(const Observation& action) { this->ports->telemetry.observe(action); }

void RouterDuty::onDrained(const RouterDrained&)
{
    if (this->ports->drained)
        this->ports->drained();
}

void RouterDuty::handle(const RouterEvent& event, Instant now)
{
    const auto* changed = std::get_if<FleetChanged>(&event);
    if (changed && this->ports->fleetChanged)
        this->ports->fleetChanged(changed->fleet);
    for (const RouterAction& action : this->router->handle(event, now))
        actionTable.dispatch(*this, action);
    this->ready.store(this->router->ready());
}

void RouterDuty::tick(Instant now) { this->handle(RouterTick {}, now); }

}
