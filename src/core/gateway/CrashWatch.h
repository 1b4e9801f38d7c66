#pragma once

#include "core/entry/Quarantine.h"
#include "ports/Ids.h"
#include "ports/Time.h"

#include <map>
#include <vector>

namespace teaselfold {

/**
 * Finds the requests that ran where an endpoint crashed. A broken connection alone is no crash: connections break
 * without one. An endpoint that then refuses connections has crashed.
 */
class CrashWatch {
public:
    explicit CrashWatch(Quarantine& quarantine)
        : quarantine(quarantine)
    {
    }

    /** A request's connection broke while the endpoint worked on it. */
    void connectionBroke(const EndpointId& endpoint, Fingerprint fingerprint, Instant now);
    /** A connection could not be made. @return how many requests are suspects because of that. */
    std::size_t connectionRefused(const EndpointId& endpoint, Instant now);
    /** Forgets broken connections of endpoints that went on. */
    void expire(Instant now);

private:
    struct Broken {
        Fingerprint fingerprint;
        Instant at;
    };

    Quarantine& quarantine;
    std::map<EndpointId, std::vector<Broken>> broken;
};

}
