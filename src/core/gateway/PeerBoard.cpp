#include "core/gateway/PeerBoard.h"

#include <algorithm>

namespace teaselfold {

void PeerBoard::setMembers(std::vector<GatewayMember> listed)
{
    std::erase_if(listed, [&](const GatewayMember& member) { return member.instance == this->self; });
    this->members = std::move(listed);
}

void PeerBoard::hear(const PeerNews& news, Instant now)
{
    if (news.instance == this->self)
        return;
    const auto [entry, isNew] = this->peers.try_emplace(news.instance);
    Peer& peer = entry->second;
    const bool isOlder = !isNew && peer.news.incarnation == news.incarnation && news.sequence <= peer.news.sequence;
    if (isOlder)
        return;
    peer.news = news;
    peer.heardAt = now;
    this->addUp();
}

void PeerBoard::expire(Instant now)
{
    const auto silent = std::erase_if(
        this->peers, [&](const auto& entry) { return now - entry.second.heardAt > this->limits.peerSilence; });
    if (silent > 0)
        this->addUp();
}

void PeerBoard::addUp()
{
    this->elsewhere.clear();
    for (const auto& [instance, peer] : this->peers) {
        for (const EndpointShare& share : peer.news.shares) {
            EndpointShare& sum = this->elsewhere[share.endpoint];
            sum.endpoint = share.endpoint;
            sum.runs += share.runs;
            sum.tokens += share.tokens;
        }
    }
}

EndpointShare PeerBoard::workElsewhere(std::uint64_t endpoint) const
{
    const auto found = this->elsewhere.find(endpoint);
    return found == this->elsewhere.end() ? EndpointShare { endpoint, 0, 0 } : found->second;
}

bool PeerBoard::isComplete() const
{
    return this->members && std::all_of(this->members->begin(), this->members->end(), [&](const GatewayMember& member) {
        return this->peers.contains(member.instance);
    });
}

std::size_t PeerBoard::instances() const
{
    const std::size_t heard = this->peers.size();
    if (!this->members)
        return std::max(heard + 1, this->limits.assumedInstances);
    return std::max(heard, this->members->size()) + 1;
}

TellPeers PeerBoard::compose(std::vector<EndpointShare> shares, QuarantineDelivery suspects, bool isLeaving)
{
    TellPeers message;
    message.news
        = { this->self, this->incarnation, ++this->sequence, isLeaving, std::move(shares), std::move(suspects) };
    if (this->members) {
        for (const GatewayMember& member : *this->members)
            message.receivers.push_back(member.address);
    }
    return message;
}

}
