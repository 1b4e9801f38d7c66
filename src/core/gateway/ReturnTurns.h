#pragma once

#include "ports/GatewayMessages.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace teaselfold {

/** How long a caller that is turned away has to stay away. */
struct ReturnBounds {
    /** No endpoint takes a request before. */
    Milliseconds earliest { 0 };
    /** The caller would not wait any longer. */
    Milliseconds longest { 0 };
    /** Time between two requests that the service takes from this gateway. */
    Duration interval { 0 };
};

/**
 * Gives the callers that a service turns away their turns to come back: one after the other, as fast as the service has
 * taken requests lately, so that they find room and who was turned away first comes back first. A caller that comes
 * back early keeps its turn and takes nobody else's. The state is bounded; the oldest turns are forgotten first.
 */
class ReturnTurns {
public:
    /** Counts a request that an endpoint of the service took. */
    void recordStart(const ServiceId& service, Instant now);
    /** @return the time between two starts at the service; unset if there were too few lately. */
    std::optional<Duration> measuredInterval(const ServiceId& service, Instant now) const;
    /** @return the time after which the caller of the request may come back. */
    Milliseconds turnAway(const ServiceId& service, Fingerprint request, const ReturnBounds& bounds, Instant now);
    /** @return true if the request was turned away and it is its turn, which is then taken. */
    bool takeTurn(const ServiceId& service, Fingerprint request, Instant now);
    /** @return the number of callers with a turn that they have not taken yet. */
    std::size_t size() const { return this->turns.size(); }
    /** Forgets the turns of callers that did not come back. */
    void expire(Instant now);

private:
    struct Service {
        /** The last starts, oldest first. */
        std::deque<Instant> starts;
        /** The turn that was given last. */
        Instant lastTurn;
    };
    using Key = std::pair<ServiceId, Fingerprint>;

    void remember(const Key& key, Instant turn);

    std::map<ServiceId, Service> services;
    std::map<Key, Instant> turns;
    std::set<std::pair<Instant, Key>> byTime;
};

}
