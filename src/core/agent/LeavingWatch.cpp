#include "core/agent/LeavingWatch.h"

#include <algorithm>
#include <limits>

namespace teaselfold {

namespace {

    constexpr Seconds readInterval { 5 };
    /** Outside the ids that the other operations of an agent draw. */
    const OperationId listOperation { std::numeric_limits<std::uint64_t>::max() };

}

void LeavingWatch::tick(Instant now, std::vector<AgentAction>& actions)
{
    if (this->nextRead && now < *this->nextRead)
        return;
    this->nextRead = now + readInterval;
    actions.push_back(ToPlatform { { listOperation, InstanceListRead {} } });
}

bool LeavingWatch::announces(const PlatformReply& reply) const
{
    const auto* list = std::get_if<InstanceList>(&reply.result);
    if (reply.operation != listOperation || list == nullptr)
        return false;
    return std::any_of(list->instances.begin(), list->instances.end(),
        [&](const InstanceState& instance) { return instance.leaving && instance.name == this->endpoint.get(); });
}

}
