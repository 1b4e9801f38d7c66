#pragma once

#include "ports/PeerMessages.h"

namespace teaselfold {

/** News for a set of gateways. */
struct TellPeers {
    PeerNews news;
    std::vector<Address> receivers;
};

/** Port towards the other gateways. */
class Peers {
public:
    virtual ~Peers() = default;
    /** Sends news; it may get lost. Never blocks. */
    virtual void tell(const TellPeers& message) = 0;
};

}
