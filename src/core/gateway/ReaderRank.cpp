#include "core/gateway/ReaderRank.h"

#include "core/entry/Rendezvous.h"

#include <algorithm>

namespace teaselfold {

bool isRankedBefore(const GatewayId& first, const GatewayId& second, StoreSection section)
{
    // The section is part of the key, so that the sections are usually read by different gateways.
    const auto weight = [&](const GatewayId& gateway) {
        return rendezvousWeight(static_cast<std::uint64_t>(section), EndpointId(gateway.get()));
    };
    const std::uint64_t firstWeight = weight(first);
    const std::uint64_t secondWeight = weight(second);
    return firstWeight == secondWeight ? first > second : firstWeight > secondWeight;
}

std::size_t readerRank(const GatewayIdentity& self, StoreSection section, const std::vector<GatewayMember>& others)
{
    return static_cast<std::size_t>(std::count_if(others.begin(), others.end(), [&](const GatewayMember& member) {
        return member.zone == self.zone && isRankedBefore(member.instance, self.instance, section);
    }));
}

}
