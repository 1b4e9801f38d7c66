#pragma once

#include "ports/PeerMessages.h"

namespace teaselfold {

/** News for a set of gateways. */
struct SendGossip {
    GossipMessage gossip;
    std::vector<Address> receivers;
};

/** Port towards the other gateways. */
class Peers {
public:
    virtual ~Peers() = default;
    /** Sends news; it may get lost. Never blocks. */
    virtual void send(const SendGossip& message) = 0;
};

}
