#pragma once

#include "ports/PeerMessages.h"

namespace teaselfold {

/** Sends a gossip message to a set of gateways. */
struct SendGossip {
    GossipMessage gossip;
    std::vector<Address> receivers;
};

/** Port to the other gateways. */
class Peers {
public:
    virtual ~Peers() = default;
    /** Sends a message without guaranteed delivery. Never blocks. */
    virtual void send(const SendGossip& message) = 0;
};

}
