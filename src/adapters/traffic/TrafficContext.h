#pragma once

#include "adapters/net/SocketLoop.h"
#include "ports/TrafficCodec.h"

#include <deque>

namespace teaselfold {

/** What the two sides of a traffic server share. Used on the traffic duty only. */
struct TrafficContext {
    SocketLoop& loop;
    const TrafficCodec& codec;
    /** Events for the decisions, in the order in which they happened. */
    std::deque<GatewayEvent>& events;
    /** Time of the current round of the loop. */
    const Instant& now;
};

}
