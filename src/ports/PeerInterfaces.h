#pragma once

#include "ports/PeerMessages.h"
#include "ports/StoreReadings.h"

namespace teaselfold {

/** Sends a gossip message to a set of gateways. */
struct SendGossip {
    GossipMessage gossip;
    std::vector<Address> receivers;
};

/** Announces what this gateway read from the store to a set of gateways. */
struct SendReading {
    StoreReading reading;
    std::vector<Address> receivers;
};

/** Port to the other gateways. */
class Peers {
public:
    virtual ~Peers() = default;
    /** Sends a message without guaranteed delivery. Never blocks. */
    virtual void send(const SendGossip& message) = 0;
    /** Sends an announcement without guaranteed delivery. Never blocks. */
    virtual void send(const SendReading& message) = 0;
};

}
