#include "core/gateway/LeavingEndpoints.h"

namespace teaselfold {

namespace {

    /** Records that expired during an outage of the store are back within a shorter time. */
    constexpr Milliseconds memoryOfRemoved(60000);
    /** Without the time of its start, an endpoint that registers again later than this counts as a new incarnation. */
    constexpr Milliseconds memoryOfUndated(5000);

}

bool LeavingEndpoints::add(const EndpointId& endpoint, WallTime startedAt)
{
    const bool isNew = !this->contains(endpoint, startedAt);
    this->announcements[endpoint] = { startedAt, std::nullopt };
    return isNew;
}

bool LeavingEndpoints::contains(const EndpointId& endpoint, WallTime startedAt)
{
    const auto found = this->announcements.find(endpoint);
    if (found == this->announcements.end())
        return false;
    if (found->second.startedAt != startedAt) {
        this->announcements.erase(found);
        return false;
    }
    found->second.removedAt.reset();
    return true;
}

void LeavingEndpoints::recordRemoval(const EndpointId& endpoint, Instant now)
{
    const auto found = this->announcements.find(endpoint);
    if (found != this->announcements.end() && !found->second.removedAt)
        found->second.removedAt = now;
}

void LeavingEndpoints::expire(Instant now)
{
    std::erase_if(this->announcements, [&](const auto& entry) {
        const Announcement& announcement = entry.second;
        const Milliseconds memory = announcement.startedAt == WallTime() ? memoryOfUndated : memoryOfRemoved;
        return announcement.removedAt && now - *announcement.removedAt > memory;
    });
}

}
