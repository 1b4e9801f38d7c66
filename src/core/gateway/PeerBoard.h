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
    PeerBoard(const GatewayLimits& limits, GatewayId self)
        : limits(limits)
        , self(std::move(self))
    {
    }

    /** @param listed the gateways of the platform's store, this one among them or not. */
    void setMembers(std::vector<GatewayMember> listed);
    /**
     * Takes news. An older word than the newest of its sender says nothing, nor does partial news of a sender whose
     * full news did not come yet. @return the sender, if the news count.
     */
    std::optional<GatewayId> hear(const GossipMessage& news, Instant now);
    /** Forgets instances that have been silent. */
    void expire(Instant now);

    /** @return the work of all others at an endpoint, by the hash of its id. */
    EndpointUsage workElsewhere(std::uint32_t endpoint) const;
    /** @return true when every other member was heard lately, so that what they say is all there is. */
    bool isComplete() const;
    /**
     * @return how many instances share what is allowed to all together. Without a list of members, or with silent
     * ones on it, the larger number counts.
     */
    std::size_t instances() const;

    /** @return how many other gateways are listed. */
    std::size_t receiverCount() const { return this->members ? this->members->size() : 0; }
    /** @return where the other listed gateways hear news. */
    std::vector<Address> receivers() const;

private:
    struct Peer {
        Incarnation incarnation;
        std::uint64_t sequence { 0 };
        Instant heardAt;
        std::unordered_map<std::uint32_t, EndpointUsage> usages;
    };

    std::optional<GatewayId> senderOf(const GossipMessage& news) const;
    void addUp();

    const GatewayLimits& limits;
    GatewayId self;
    std::optional<std::vector<GatewayMember>> members;
    std::map<GatewayId, Peer> peers;
    std::unordered_map<std::uint32_t, EndpointUsage> elsewhere;
};

}
