#include "core/agent/InstanceListPoller.h"

#include <algorithm>
#include <limits>

namespace teaselfold {

namespace {

    constexpr Seconds pollInterval { 5 };
    /** Outside the range of ids that the agent's other operations use. */
    const OperationId instanceListOperation { std::numeric_limits<std::uint64_t>::max() };

}

void InstanceListPoller::tick(Instant now, std::vector<AgentAction>& actions)
{
    if (this->nextReadAt && now < *this->nextReadAt)
        return;
    this->nextReadAt = now + pollInterval;
    actions.push_back(ToPlatform { { instanceListOperation, InstanceListRead {} } });
}

bool InstanceListPoller::showsOwnInstanceLeaving(const PlatformReply& reply) const
{
    const auto* list = std::get_if<InstanceList>(&reply.result);
    if (reply.operation != instanceListOperation || list == nullptr)
        return false;
    return std::any_of(list->instances.begin(), list->instances.end(),
        [&](const InstanceState& instance) { return instance.leaving && instance.name == this->endpoint.get(); });
}

}
