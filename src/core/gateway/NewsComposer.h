#pragma once

#include "ports/GatewayLimits.h"
#include "ports/PeerMessages.h"

#include <optional>
#include <unordered_map>

namespace teaselfold {

/** @return the time between two full words of an instance to so many receivers. */
Milliseconds fullNewsPeriod(const GatewayLimits& limits, std::size_t receivers);

/** What a gateway may tell the others. */
struct NewsContent {
    std::vector<EndpointUsage> usages;
    QuarantineDelivery suspects;
    bool isDraining { false };
    /** Gateways that are told. */
    std::size_t receivers { 0 };
};

/**
 * Decides when a gateway tells the others of its work, and how much: changes as soon as the node's bytes allow, and all
 * of it from time to time, since datagrams get lost.
 */
class NewsComposer {
public:
    NewsComposer(const GatewayLimits& limits, GatewayId self, Incarnation incarnation)
        : limits(limits)
        , self(std::move(self))
        , incarnation(incarnation)
    {
    }

    /** @return what to send to each receiver now; nothing when there is nothing new or no room for it. */
    std::optional<GossipMessage> compose(const NewsContent& content, Instant now);

private:
    GossipMessage news(const NewsContent& content, std::vector<EndpointUsage> usages);
    std::vector<EndpointUsage> changedShares(const std::vector<EndpointUsage>& usages) const;
    void refill(Instant now);
    /** Takes the bytes of one round of news. */
    void spend(std::size_t usages, std::size_t receivers);

    const GatewayLimits& limits;
    GatewayId self;
    Incarnation incarnation;
    std::uint64_t sequence { 0 };
    std::unordered_map<std::uint32_t, EndpointUsage> told;
    std::optional<Instant> toldAllAt;
    std::optional<Instant> refilledAt;
    /** Bytes that may be sent now; less than none after full news. */
    double available { 0 };
};

}
