#pragma once

#include "ports/Ids.h"
#include "ports/Time.h"

#include <map>
#include <optional>

namespace teaselfold {

/**
 * The endpoints that announced in an answer that they leave. An announcement holds for one incarnation of an endpoint,
 * whatever the store says of it, also while the endpoint has no record.
 */
class LeavingEndpoints {
public:
    /** @param startedAt start of the endpoint's incarnation. @return true if this is its first announcement. */
    bool add(const EndpointId& endpoint, WallTime startedAt);
    /** @return true if this incarnation leaves. An announcement of an earlier one is forgotten. */
    bool contains(const EndpointId& endpoint, WallTime startedAt);
    /** Records that the endpoint has no record any more. */
    void recordRemoval(const EndpointId& endpoint, Instant now);
    /** Forgets endpoints that have had no record for long enough. */
    void expire(Instant now);

private:
    struct Announcement {
        /** Zero for an endpoint that does not state its start. */
        WallTime startedAt;
        /** Unset while the endpoint has a record. */
        std::optional<Instant> removedAt;
    };

    std::map<EndpointId, Announcement> announcements;
};

}
