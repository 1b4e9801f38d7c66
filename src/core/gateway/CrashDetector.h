#pragma once

#include "core/entry/Quarantine.h"
#include "ports/Ids.h"
#include "ports/Time.h"

#include <map>
#include <vector>

namespace teaselfold {

/**
 * Finds the requests that were running at an endpoint when it crashed. A broken connection alone does not prove a
 * crash, because connections also break for other reasons. A crash is assumed when the endpoint then refuses
 * connections.
 */
class CrashDetector {
public:
    explicit CrashDetector(Quarantine& quarantine)
        : quarantine(quarantine)
    {
    }

    /** Records that the connection of a request broke while the endpoint processed it. */
    void recordBrokenConnection(const EndpointId& endpoint, Fingerprint fingerprint, Instant now);
    /** Records that a connection could not be opened. @return the number of requests that become suspects. */
    std::size_t recordRefusedConnection(const EndpointId& endpoint, Instant now);
    /** Discards broken connections of endpoints that did not refuse a connection in time. */
    void expire(Instant now);

private:
    struct BrokenConnection {
        Fingerprint fingerprint;
        Instant at;
    };

    Quarantine& quarantine;
    std::map<EndpointId, std::vector<BrokenConnection>> brokenConnections;
};

}
