#pragma once

#include "core/gateway/PeerLoadTable.h"
#include "core/gateway/Rollout.h"

namespace teaselfold {

/** Which other gateways tell of roll-outs, and in which order gateways write a roll-out's state. */
class RolloutPeers {
public:
    RolloutPeers(const PeerLoadTable& peers, GatewayId self)
        : peers(peers)
        , self(std::move(self))
    {
    }

    void recordHeard(const GatewayId& sender, Instant now) { this->heardAt[sender] = now; }
    /** @return the number of listed gateways, of those that were heard lately, that write before this one. */
    Milliseconds::rep rank(const Rollout& rollout, Instant now) const;
    /** @return true if many listed gateways tell nothing, so that this one may not hear of the others' verdicts. */
    bool isCutOff(Instant now) const;
    /** @return the time after which a gateway that told nothing counts as silent. */
    Duration silence() const;

private:
    const PeerLoadTable& peers;
    GatewayId self;
    /** When other gateways last told of roll-outs. */
    std::map<GatewayId, Instant> heardAt;
};

}
