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
    const auto [place, added] = this->calls.try_emplace(call.id, std::move(call));
    internalCheck(added, "a call id is taken in once");
    return place->second;
}

void CallTable::bury(GenerationId id, Instant now)
{
    if (this->buried.insert(id).second)
        this->burials.emplace_back(now, id);
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
            this->bury(id, now);
    }
    std::erase_if(this->calls, [&](const auto& row) {
        return row.second.state == CallState::Ended && now - row.second.ended >= this->limits.acknowledgedRetention;
    });
    while (!this->burials.empty() && now - this->burials.front().first >= this->limits.tombstoneLifetime) {
        this->buried.erase(this->burials.front().second);
        this->burials.pop_front();
    }
}

}
