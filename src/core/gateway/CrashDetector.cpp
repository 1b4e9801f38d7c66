#include "core/gateway/CrashDetector.h"

#include "core/gateway/EndpointHash.h"

#include <algorithm>

namespace teaselfold {

namespace {

    /**
     * Time after a broken connection within which a refused one indicates a crash. Requests are sent to an endpoint
     * often, so a crashed one refuses a connection within this time.
     */
    constexpr Milliseconds suspicionWindow(3000);
    /** A crash may be noticed by a refused connection this long before the connections that it broke. */
    constexpr Milliseconds detectionDelay(250);
    constexpr std::size_t maxSentRefusals = 8;

    bool isSameCrash(Instant brokenAt, Instant refusedAt)
    {
        return refusedAt >= brokenAt - detectionDelay && refusedAt <= brokenAt + suspicionWindow;
    }

}

std::size_t CrashDetector::recordBrokenConnection(const EndpointId& endpoint, Fingerprint fingerprint, Instant now)
{
    const EndpointHash hash = endpointHashOf(endpoint);
    const auto refusal = this->refusals.find(hash);
    if (refusal == this->refusals.end() || !isSameCrash(now, refusal->second.at)) {
        this->brokenConnections[hash].push_back({ endpoint, fingerprint, now });
        return 0;
    }
    this->quarantine.recordDeath(fingerprint, endpoint, now);
    return 1;
}

bool CrashDetector::hasRefusedSince(const EndpointId& endpoint, Instant endedAt) const
{
    const auto refusal = this->refusals.find(endpointHashOf(endpoint));
    return refusal != this->refusals.end() && isSameCrash(endedAt, refusal->second.at);
}

std::size_t CrashDetector::recordRefusedConnection(const EndpointId& endpoint, Instant now)
{
    return this->addRefusal(endpointHashOf(endpoint), { now, true });
}

std::size_t CrashDetector::merge(const std::vector<RefusedConnection>& refusedConnections, Instant now)
{
    std::size_t suspects = 0;
    for (const RefusedConnection& refused : refusedConnections)
        suspects += this->addRefusal(refused.endpoint, { now - refused.age, false });
    return suspects;
}

std::size_t CrashDetector::addRefusal(EndpointHash endpoint, Refusal refusal)
{
    const auto [last, isNew] = this->refusals.try_emplace(endpoint, refusal);
    if (!isNew && last->second.at < refusal.at)
        last->second = refusal;
    const auto found = this->brokenConnections.find(endpoint);
    if (found == this->brokenConnections.end())
        return 0;
    const std::size_t suspects = std::erase_if(found->second, [&](const BrokenConnection& connection) {
        if (!isSameCrash(connection.at, refusal.at))
            return false;
        this->quarantine.recordDeath(connection.fingerprint, connection.endpoint, connection.at);
        return true;
    });
    if (found->second.empty())
        this->brokenConnections.erase(found);
    return suspects;
}

std::vector<RefusedConnection> CrashDetector::refusedConnections(Instant now) const
{
    std::vector<RefusedConnection> refused;
    for (const auto& [endpoint, refusal] : this->refusals) {
        if (refusal.isOwn && now - refusal.at <= suspicionWindow)
            refused.push_back({ endpoint, std::chrono::duration_cast<Milliseconds>(now - refusal.at) });
    }
    std::ranges::sort(refused, {}, &RefusedConnection::age);
    if (refused.size() > maxSentRefusals)
        refused.resize(maxSentRefusals);
    return refused;
}

void CrashDetector::expire(Instant now)
{
    const auto isExpired = [&](Instant at) { return now - at > suspicionWindow; };
    std::erase_if(this->brokenConnections, [&](const auto& entry) { return isExpired(entry.second.back().at); });
    std::erase_if(this->refusals, [&](const auto& entry) { return isExpired(entry.second.at); });
}

}
