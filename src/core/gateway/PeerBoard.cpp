#include "core/gateway/PeerBoard.h"

#include "core/gateway/NewsComposer.h"

#include <algorithm>

namespace teaselfold {

void PeerBoard::setMembers(std::vector<GatewayMember> listed)
{
    std::erase_if(listed, [&](const GatewayMember& member) { return member.instance == this->self; });
    this->members = std::move(listed);
}

std::optional<GatewayId> PeerBoard::senderOf(const GossipMessage& news) const
{
    if (!news.isPartial)
        return news.instance;
    const auto sender = std::find_if(this->peers.begin(), this->peers.end(),
        [&](const auto& entry) { return entry.second.incarnation == news.incarnation; });
    return sender == this->peers.end() ? std::nullopt : std::optional(sender->first);
}

std::optional<GatewayId> PeerBoard::hear(const GossipMessage& news, Instant now)
{
    const auto sender = this->senderOf(news);
    if (!sender || *sender == this->self)
        return std::nullopt;
    const auto [entry, isNew] = this->peers.try_emplace(*sender);
    Peer& peer = entry->second;
    const bool isSameLife = !isNew && peer.incarnation == news.incarnation;
    if (isSameLife && news.sequence <= peer.sequence)
        return std::nullopt;
    if (!isSameLife || !news.isPartial)
        peer.usages.clear();
    peer.incarnation = news.incarnation;
    peer.sequence = news.sequence;
    peer.heardAt = now;
    for (const EndpointUsage& share : news.usages)
        peer.usages[share.endpoint] = share;
    this->addUp();
    return sender;
}

void PeerBoard::expire(Instant now)
{
    // One full word may get lost.
    constexpr int lostNews = 2;
    const Duration silence
        = std::max(this->limits.peerTimeout, fullNewsPeriod(this->limits, this->instances()) * lostNews);
    const auto silent
        = std::erase_if(this->peers, [&](const auto& entry) { return now - entry.second.heardAt > silence; });
    if (silent > 0)
        this->addUp();
}

void PeerBoard::addUp()
{
    this->elsewhere.clear();
    for (const auto& [instance, peer] : this->peers) {
        for (const auto& [endpoint, share] : peer.usages) {
            EndpointUsage& sum = this->elsewhere[endpoint];
            sum.endpoint = endpoint;
            sum.runs += share.runs;
            sum.tokens += share.tokens;
            sum.promptTokens += share.promptTokens;
        }
    }
}

EndpointUsage PeerBoard::workElsewhere(std::uint32_t endpoint) const
{
    const auto found = this->elsewhere.find(endpoint);
    return found == this->elsewhere.end() ? EndpointUsage { endpoint, 0, 0, 0 } : found->second;
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

std::vector<Address> PeerBoard::receivers() const
{
    std::vector<Address> addresses;
    if (!this->members)
        return addresses;
    for (const GatewayMember& member : *this->members)
        addresses.push_back(member.address);
    return addresses;
}

}
