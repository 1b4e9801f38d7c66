#include "core/entry/UnacknowledgedStreams.h"

namespace teaselfold {

std::optional<UnacknowledgedStream> UnacknowledgedStreams::recordConsumed(RequestId request, std::uint32_t nextIndex)
{
    const auto found = this->streams.find(request);
    if (found == this->streams.end())
        return std::nullopt;
    const UnacknowledgedStream stream = found->second;
    if (nextIndex >= stream.tokenCount)
        this->streams.erase(found);
    return stream;
}

void UnacknowledgedStreams::expire(Instant now)
{
    std::erase_if(this->streams, [&](const auto& row) { return now >= row.second.expiresAt; });
}

}
