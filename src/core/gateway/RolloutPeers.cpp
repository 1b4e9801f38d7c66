#include "core/gateway/RolloutPeers.h"

#include "core/entry/Rendezvous.h"
#include "core/gateway/GossipComposer.h"

#include <algorithm>

namespace teaselfold {

namespace {

    /** Gateways with a higher rank than this behave like this one. */
    constexpr Milliseconds::rep maxDistinctRank = 3;
    constexpr Milliseconds minSilence(2000);
    /** Tolerates the loss of two messages. */
    constexpr int toleratedIntervals = 3;

}

Duration RolloutPeers::silence() const
{
    return std::max(minSilence, rolloutGossipInterval(this->peers.receiverCount()) * toleratedIntervals);
}

Milliseconds::rep RolloutPeers::rank(const Rollout& rollout, Instant now) const
{
    const std::uint64_t key = hashOf(rollout.order.service.get());
    const auto weight = [&](const GatewayId& gateway) { return rendezvousWeight(key, EndpointId(gateway.get())); };
    const auto before = std::count_if(this->heardAt.begin(), this->heardAt.end(), [&](const auto& entry) {
        return now - entry.second < this->silence() && weight(entry.first) > weight(this->self);
    });
    return std::min<Milliseconds::rep>(before, maxDistinctRank);
}

bool RolloutPeers::isAnySilent(Instant now) const
{
    const auto& members = this->peers.otherMembers();
    return std::any_of(members.begin(), members.end(), [&](const GatewayMember& member) {
        const auto heard = this->heardAt.find(member.instance);
        return heard == this->heardAt.end() || now - heard->second >= this->silence();
    });
}

}
