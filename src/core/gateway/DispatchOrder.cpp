#include "core/gateway/DispatchOrder.h"

#include <algorithm>

namespace teaselfold {

namespace {

    /** @return the work that a request causes: its tokens at an engine, otherwise the same for each request. */
    double costOf(const ActiveRequest& active)
    {
        return active.service->engine ? static_cast<double>(active.tokens + 1) : 1;
    }

}

std::uint32_t DispatchOrder::enginePriority(const ActiveRequest& active)
{
    constexpr std::uint32_t lowest = 9;
    return std::min(active.priority, lowest);
}

WaitingGroup DispatchOrder::groupOf(const ActiveRequest& active)
{
    return { active.service->name, active.triedEndpoints };
}

bool DispatchOrder::hasToQueue(const ActiveRequest& active) const
{
    return !this->state.waiting.contains(active.request.id)
        && this->state.waiting.hasBefore(groupOf(active), active.priority);
}

void DispatchOrder::wait(const ActiveRequest& active, Instant now)
{
    if (this->state.waiting.contains(active.request.id))
        return;
    const bool hasReturned = this->state.returnTurns.takeTurn(active.service->name, active.request.fingerprint, now);
    this->state.waiting.add({ active.request.id, groupOf(active), active.team.value_or(TeamId()), active.priority,
        active.arrivedAt, active.arrivedAt + active.route->latencyObjective, active.arrivedAt + this->waitLimit(active),
        costOf(active), hasReturned });
}

Duration DispatchOrder::waitLimit(const ActiveRequest& active) const
{
    return std::chrono::duration_cast<Duration>(active.route->latencyObjective * this->state.limits.queueWaitFraction);
}

}
