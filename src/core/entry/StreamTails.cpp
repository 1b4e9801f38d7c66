#include "core/entry/StreamTails.h"

namespace teaselfold {

std::optional<StreamTail> StreamTails::consumed(RequestId request, std::uint32_t nextIndex)
{
    const auto found = this->tails.find(request);
    if (found == this->tails.end())
        return std::nullopt;
    const StreamTail tail = found->second;
    if (nextIndex >= tail.tokenCount)
        this->tails.erase(found);
    return tail;
}

void StreamTails::expire(Instant now)
{
    std::erase_if(this->tails, [&](const auto& row) { return now >= row.second.until; });
}

}
