#include "core/gateway/RolloutPeers.h"

#include "core/entry/Rendezvous.h"
#include "core/gateway/GossipComposer.h"

#include <algorithm>

namespace teaselfold {

namespace {

    /** Gateways with a higher rank than this behave like this one. */
    constexpr Milliseconds::rep maxDistinctRank = 3;
    constexpr Milliseconds minSilence(2000);
    /** Tolerates the loss of one message. */
    constexpr int toleratedIntervals = 2;

}

Duration RolloutPeers::silence() const
{
    return std::max(minSilence, rolloutGossipInterval(this->peers.receiverCount()) * toleratedIntervals);
}

Milliseconds::rep RolloutPeers::rank(const Rollout& rollout, Instant now) const
{
    const std::uint64_t key = hashOf(rollout.order.service.get());
    const auto weight = [&](const GatewayId& gateway) { return rendezvousWeight(key, EndpointId(gateway.get())); };
    // While the order is young, a listed gateway has had no time to tell of it.
    const bool isYoung = rollout.elapsed(now) < this->silence();
    const auto isHeard = [&](const GatewayId& gateway) {
        const auto heard = this->heardAt.find(gateway);
        return isYoung || (heard != this->heardAt.end() && now - heard->second < this->silence());
    };
    const auto& members = this->peers.otherMembers();
    const auto before = std::count_if(members.begin(), members.end(), [&](const GatewayMember& member) {
        return isHeard(member.instance) && weight(member.instance) > weight(this->self);
    });
    return std::min<Milliseconds::rep>(before, maxDistinctRank);
}

bool RolloutPeers::isCutOff(Instant now) const
{
    // Single ones may have ended, or their messages were lost.
    constexpr std::ptrdiff_t silentPart = 4;
    const auto& members = this->peers.otherMembers();
    const auto silent = std::count_if(members.begin(), members.end(), [&](const GatewayMember& member) {
        const auto heard = this->heardAt.find(member.instance);
        return heard == this->heardAt.end() || now - heard->second >= this->silence();
    });
    return silent > 0 && silent * silentPart >= static_cast<std::ptrdiff_t>(members.size());
}

}
