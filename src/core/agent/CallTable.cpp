#include "core/agent/CallTable.h"

#include "core/common/Check.h"

#include <algorithm>

namespace teaselfold {

Call* CallTable::find(GenerationId id)
{
    const auto found = this->calls.find(id);
    return found == this->calls.end() ? nullptr : &found->second;
}

Call& CallTable::add(Call call)
{
    const auto [position, added] = this->calls.try_emplace(call.id, std::move(call));
    internalCheck(added, "a call id must be added only once");
    return position->second;
}

void CallTable::addTombstone(GenerationId id, Instant now)
{
    if (this->tombstones.insert(id).second)
        this->tombstoneTimes.emplace_back(now, id);
}

std::vector<GenerationId> CallTable::inState(CallState state) const
{
    std::vector<GenerationId> result;
    for (const auto& [id, call] : this->calls) {
        if (call.state == state)
            result.push_back(id);
    }
    return result;
}

bool CallTable::allEnded() const
{
    return std::all_of(
        this->calls.begin(), this->calls.end(), [](const auto& row) { return row.second.state == CallState::Ended; });
}

void CallTable::expire(Instant now)
{
    for (const auto& [id, call] : this->calls) {
        if (call.state == CallState::Ended && now - call.ended >= this->limits.acknowledgedRetention)
            this->addTombstone(id, now);
    }
    std::erase_if(this->calls, [&](const auto& row) {
        return row.second.state == CallState::Ended && now - row.second.ended >= this->limits.acknowledgedRetention;
    });
    while (
        !this->tombstoneTimes.empty() && now - this->tombstoneTimes.front().first >= this->limits.tombstoneLifetime) {
        this->tombstones.erase(this->tombstoneTimes.front().second);
        this->tombstoneTimes.pop_front();
    }
}

}
