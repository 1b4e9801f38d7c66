#include "core/gateway/CopyRefusals.h"

#include <algorithm>

namespace teaselfold {

namespace {

    /** Time in which an engine's room hardly changes. */
    constexpr Milliseconds memoryOfRefusals(300);

}

void CopyRefusals::record(const EndpointId& endpoint, std::uint64_t tokens, Instant now)
{
    const std::uint64_t smallest = this->refuses(endpoint, tokens, now) ? this->refusals[endpoint].tokens : tokens;
    this->refusals[endpoint] = { std::min(smallest, tokens), now };
}

bool CopyRefusals::refuses(const EndpointId& endpoint, std::uint64_t tokens, Instant now) const
{
    const auto found = this->refusals.find(endpoint);
    return found != this->refusals.end() && now - found->second.at < memoryOfRefusals && tokens >= found->second.tokens;
}

void CopyRefusals::expire(Instant now)
{
    std::erase_if(this->refusals, [&](const auto& entry) { return now - entry.second.at >= memoryOfRefusals; });
}

}
