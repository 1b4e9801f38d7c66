#pragma once

#include "adapters/net/SocketLoop.h"
#include "ports/TrafficCodec.h"

#include <deque>

namespace teaselfold {

/** State shared by the connection handlers of a traffic server. Used on the traffic duty only. */
struct TrafficContext {
    SocketLoop& loop;
    const TrafficCodec& codec;
    /** Events for the gateway's decisions, in the order in which they occurred. */
    std::deque<GatewayEvent>& events;
    /** Time of the current loop iteration. */
    const Instant& now;
};

}
