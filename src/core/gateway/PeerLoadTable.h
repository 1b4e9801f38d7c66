#pragma once

#include "ports/GatewayLimits.h"
#include "ports/PeerInterfaces.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace teaselfold {

/** Load of the other gateways at each endpoint, as gossiped by them, and the number of gateways that share limits. */
class PeerLoadTable {
public:
    PeerLoadTable(const GatewayLimits& limits, GatewayId self)
        : limits(limits)
        , self(std::move(self))
    {
    }

    /** @param listed the gateways listed in the platform's store, with or without this one. */
    void setMembers(std::vector<GatewayMember> listed);
    /**
     * Applies a message of another gateway. Ignored are messages older than the sender's newest one, partial messages
     * of senders whose full state is not known yet, and this gateway's own.
     * @return the sender, or nothing if the message was ignored.
     */
    std::optional<GatewayId> receive(const GossipMessage& message, Instant now);
    /** Removes the load of gateways that have been silent for too long. */
    void expire(Instant now);

    /**
     * @param endpoint hash of the endpoint's id.
     * @return the load of all other gateways at the endpoint.
     */
    EndpointUsage peerLoad(std::uint32_t endpoint) const;
    /** @return true if the load of every other listed gateway is known. */
    bool isComplete() const;
    /**
     * @return the number of gateways, this one included, among which limits that hold for all together are divided.
     * It is the larger of the numbers of listed and of recently heard gateways, and not less than the assumed number
     * without a list.
     */
    std::size_t instanceCount() const;

    /** @return the number of other listed gateways. */
    std::size_t receiverCount() const { return this->members ? this->members->size() : 0; }
    /** @return the addresses at which the other listed gateways receive messages. */
    std::vector<Address> receiverAddresses() const;

private:
    struct Peer {
        Incarnation incarnation;
        std::uint64_t sequence { 0 };
        Instant lastReceivedAt;
        std::unordered_map<std::uint32_t, EndpointUsage> usages;
    };

    std::optional<GatewayId> senderOf(const GossipMessage& message) const;
    void recomputeTotals();

    const GatewayLimits& limits;
    GatewayId self;
    /** Other listed gateways; empty before the first list. */
    std::optional<std::vector<GatewayMember>> members;
    std::map<GatewayId, Peer> peers;
    /** Load of all peers together, by endpoint hash. */
    std::unordered_map<std::uint32_t, EndpointUsage> totals;
};

}
