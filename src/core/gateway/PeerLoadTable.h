#pragma once

#include "core/gateway/EnginePreference.h"
#include "core/gateway/PendingPrompts.h"
#include "ports/GatewayLimits.h"
#include "ports/PeerInterfaces.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace teaselfold {

/** Load of the other gateways at each endpoint according to their gossip, and the number of gateways. */
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
     * Applies a message of another gateway. Ignores messages that are not newer than the sender's last one, partial
     * messages of a process from which no full message was received, and this gateway's own messages.
     * @return the sender; unset if the message was ignored.
     */
    std::optional<GatewayId> receive(const GossipMessage& message, Instant now);
    /** Removes the load of gateways that have been silent for too long. */
    void expire(Instant now);

    /**
     * @param endpoint hash of the endpoint's id.
     * @return the load of all other gateways at the endpoint.
     */
    EndpointUsage peerLoad(std::uint32_t endpoint) const;
    /**
     * @param endpoint hash of an engine's id.
     * @return the prompt tokens of the other gateways that the engine is expected to have before it.
     */
    double unreadPromptTokens(std::uint32_t endpoint, Instant now) const;
    /** @return true if the load of every other listed gateway is known. */
    bool isComplete() const { return this->complete; }
    /**
     * @return the number of gateways, including this one, among which shared limits are divided: the number of listed
     * gateways or of those that recently sent gossip, whichever is larger. Without a list, it is at least
     * `assumedGateways`.
     */
    std::size_t gatewayCount() const;

    /** @return the number of other listed gateways. */
    std::size_t receiverCount() const { return this->members ? this->members->size() : 0; }
    /** @return the addresses at which the other listed gateways receive messages. */
    std::vector<Address> receiverAddresses() const;
    /**
     * @param engineCount number of engines of the service.
     * @return the addresses of the other listed gateways that prefer one of the engines.
     */
    std::vector<Address> addressesPreferring(const std::vector<EndpointUsage>& usages, std::size_t engineCount) const;
    /** @return true if there are so many gateways that they divide the engines among them. */
    bool dividesEngines() const { return this->gatewayCount() > maxFullyInformedGateways; }
    /** @return true if this gateway prefers the engine. */
    bool prefers(std::uint32_t endpoint, std::size_t engineCount) const
    {
        return prefersEngine(this->self, endpoint, engineCount);
    }
    /** @return the addresses of the other listed gateways of a zone. */
    std::vector<Address> addressesInZone(const ZoneId& zone) const;
    /** @return true if another gateway of the zone has sent gossip recently and is not stopping. */
    bool hasServingPeerIn(const ZoneId& zone) const;
    /** @return the other listed gateways; none before the first list. */
    const std::vector<GatewayMember>& otherMembers() const;

private:
    struct Peer {
        Incarnation incarnation;
        std::uint64_t sequence { 0 };
        Instant lastReceivedAt;
        bool isDraining { false };
        std::unordered_map<std::uint32_t, EndpointUsage> usages;
    };

    std::optional<GatewayId> senderOf(const GossipMessage& message) const;
    void addToTotals(const EndpointUsage& usage);
    void removeFromTotals(const EndpointUsage& usage);
    void setPendingPrompts(const GatewayId& sender, const EndpointUsage& usage, Instant now);
    /** Forgets the peer's pending prompts, except at the kept usages' endpoints. */
    void clearPendingPrompts(
        const GatewayId& sender, const Peer& peer, const std::vector<EndpointUsage>& kept, Instant now);
    /** Forgets the peer's load, and takes it out of the totals. */
    void clearUsages(Peer& peer);
    void updateCompleteness();

    const GatewayLimits& limits;
    GatewayId self;
    /** Other listed gateways; unset before the first list. */
    std::optional<std::vector<GatewayMember>> members;
    std::map<GatewayId, Peer> peers;
    /** Load of all peers together, by endpoint hash. */
    std::unordered_map<std::uint32_t, EndpointUsage> totals;
    /** By endpoint hash. */
    std::unordered_map<std::uint32_t, PendingPrompts> pendingPrompts;
    bool complete { false };
};

}
