#include "core/gateway/CrashDetector.h"

namespace teaselfold {

namespace {

    /**
     * Time after a broken connection within which a refused one indicates a crash. Requests are sent to an endpoint
     * often, so a crashed one refuses a connection within this time.
     */
    constexpr Milliseconds suspicionWindow(3000);

}

void CrashDetector::recordBrokenConnection(const EndpointId& endpoint, Fingerprint fingerprint, Instant now)
{
    this->brokenConnections[endpoint].push_back({ fingerprint, now });
}

std::size_t CrashDetector::recordRefusedConnection(const EndpointId& endpoint, Instant now)
{
    const auto found = this->brokenConnections.find(endpoint);
    if (found == this->brokenConnections.end())
        return 0;
    std::size_t suspects = 0;
    for (const BrokenConnection& connection : found->second) {
        if (now - connection.at > suspicionWindow)
            continue;
        this->quarantine.recordDeath(connection.fingerprint, endpoint, connection.at);
        ++suspects;
    }
    this->brokenConnections.erase(found);
    return suspects;
}

void CrashDetector::expire(Instant now)
{
    std::erase_if(
        this->brokenConnections, [&](const auto& entry) { return now - entry.second.back().at > suspicionWindow; });
}

}
