#pragma once

#include "ports/GatewayLimits.h"
#include "ports/PeerInterfaces.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace teaselfold {

/** What the other gateways say: their work at each endpoint, and how many share the common allowances. */
class PeerBoard {
public:
    PeerBoard(const GatewayLimits& limits, GatewayId self, Incarnation incarnation)
        : limits(limits)
        , self(std::move(self))
        , incarnation(incarnation)
    {
    }

    /** @param listed the gateways of the platform's store, this one among them or not. */
    void setMembers(std::vector<GatewayMember> listed);
    /** Takes news. An older word than the one that is known says nothing. */
    void hear(const PeerNews& news, Instant now);
    /** Forgets instances that have been silent. */
    void expire(Instant now);

    /** @return the work of all others at an endpoint, by the hash of its id. */
    EndpointShare workElsewhere(std::uint64_t endpoint) const;
    /** @return true when every other member was heard lately, so that what they say is all there is. */
    bool isComplete() const;
    /**
     * @return how many instances share what is allowed to all together. Without a list of members, or with silent
     * ones on it, the larger number counts.
     */
    std::size_t instances() const;

    /** @return the word for the others, with the next sequence number. */
    TellPeers compose(std::vector<EndpointShare> shares, QuarantineDelivery suspects, bool isLeaving);

private:
    struct Peer {
        PeerNews news;
        Instant heardAt;
    };

    void addUp();

    const GatewayLimits& limits;
    GatewayId self;
    Incarnation incarnation;
    std::uint64_t sequence { 0 };
    std::optional<std::vector<GatewayMember>> members;
    std::map<GatewayId, Peer> peers;
    std::unordered_map<std::uint64_t, EndpointShare> elsewhere;
};

}
