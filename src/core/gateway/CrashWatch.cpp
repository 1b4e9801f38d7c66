#include "core/gateway/CrashWatch.h"

namespace teaselfold {

namespace {

    /** An endpoint that crashed is found to refuse connections within this time, since requests go there often. */
    constexpr Milliseconds memory(3000);

}

void CrashWatch::connectionBroke(const EndpointId& endpoint, Fingerprint fingerprint, Instant now)
{
    this->broken[endpoint].push_back({ fingerprint, now });
}

std::size_t CrashWatch::connectionRefused(const EndpointId& endpoint, Instant now)
{
    const auto found = this->broken.find(endpoint);
    if (found == this->broken.end())
        return 0;
    std::size_t suspects = 0;
    for (const Broken& each : found->second) {
        if (now - each.at > memory)
            continue;
        this->quarantine.recordDeath(each.fingerprint, endpoint, each.at);
        ++suspects;
    }
    this->broken.erase(found);
    return suspects;
}

void CrashWatch::expire(Instant now)
{
    std::erase_if(this->broken, [&](const auto& entry) { return now - entry.second.back().at > memory; });
}

}
