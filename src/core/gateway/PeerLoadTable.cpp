#include "core/gateway/PeerLoadTable.h"

#include "core/gateway/GossipComposer.h"

#include <algorithm>

namespace teaselfold {

void PeerLoadTable::setMembers(std::vector<GatewayMember> listed)
{
    std::erase_if(listed, [&](const GatewayMember& member) { return member.instance == this->self; });
    this->members = std::move(listed);
    this->updateCompleteness();
}

std::optional<GatewayId> PeerLoadTable::senderOf(const GossipMessage& message) const
{
    if (!message.isPartial)
        return message.instance;
    const auto sender = std::find_if(this->peers.begin(), this->peers.end(),
        [&](const auto& entry) { return entry.second.incarnation == message.incarnation; });
    return sender == this->peers.end() ? std::nullopt : std::optional(sender->first);
}

std::optional<GatewayId> PeerLoadTable::receive(const GossipMessage& message, Instant now)
{
    const auto sender = this->senderOf(message);
    if (!sender || *sender == this->self)
        return std::nullopt;
    const auto [entry, isNew] = this->peers.try_emplace(*sender);
    Peer& peer = entry->second;
    const bool isSameIncarnation = !isNew && peer.incarnation == message.incarnation;
    if (isSameIncarnation && message.sequence <= peer.sequence)
        return std::nullopt;
    if (!isSameIncarnation)
        this->clearPendingPrompts(*sender, peer, {}, now);
    else if (!message.isPartial)
        this->clearPendingPrompts(*sender, peer, message.usages, now);
    if (!isSameIncarnation || !message.isPartial)
        this->clearUsages(peer);
    peer.incarnation = message.incarnation;
    peer.sequence = message.sequence;
    peer.lastReceivedAt = now;
    peer.isDraining = message.isDraining;
    for (const EndpointUsage& usage : message.usages) {
        EndpointUsage& known = peer.usages[usage.endpoint];
        this->removeFromTotals(known);
        known = usage;
        this->addToTotals(known);
        this->setPendingPrompts(*sender, usage, now);
    }
    if (isNew)
        this->updateCompleteness();
    return sender;
}

void PeerLoadTable::expire(Instant now)
{
    // Tolerates the loss of one full gossip message.
    constexpr int toleratedPeriods = 2;
    const Duration silence
        = std::max(this->limits.peerTimeout, fullGossipInterval(this->limits, this->gatewayCount()) * toleratedPeriods);
    const std::size_t before = this->peers.size();
    for (auto entry = this->peers.begin(); entry != this->peers.end();) {
        const bool isSilent = now - entry->second.lastReceivedAt > silence;
        if (isSilent) {
            this->clearPendingPrompts(entry->first, entry->second, {}, now);
            this->clearUsages(entry->second);
        }
        entry = isSilent ? this->peers.erase(entry) : std::next(entry);
    }
    if (this->peers.size() != before)
        this->updateCompleteness();
}

void PeerLoadTable::addToTotals(const EndpointUsage& usage)
{
    EndpointUsage& sum = this->totals[usage.endpoint];
    sum.endpoint = usage.endpoint;
    sum.runs += usage.runs;
    sum.tokens += usage.tokens;
    sum.promptTokens += usage.promptTokens;
}

void PeerLoadTable::removeFromTotals(const EndpointUsage& usage)
{
    const auto found = this->totals.find(usage.endpoint);
    if (found == this->totals.end())
        return;
    EndpointUsage& sum = found->second;
    sum.runs -= usage.runs;
    sum.tokens -= usage.tokens;
    sum.promptTokens -= usage.promptTokens;
    if (sum == EndpointUsage { usage.endpoint, 0, 0, 0 })
        this->totals.erase(found);
}

void PeerLoadTable::setPendingPrompts(const GatewayId& sender, const EndpointUsage& usage, Instant now)
{
    const auto found = this->pendingPrompts.find(usage.endpoint);
    if (found == this->pendingPrompts.end() && usage.promptTokens == 0)
        return;
    PendingPrompts& pending = this->pendingPrompts[usage.endpoint];
    pending.update(sender, usage.promptTokens, now);
    if (pending.isEmpty())
        this->pendingPrompts.erase(usage.endpoint);
}

void PeerLoadTable::clearPendingPrompts(
    const GatewayId& sender, const Peer& peer, const std::vector<EndpointUsage>& kept, Instant now)
{
    for (const auto& [endpoint, usage] : peer.usages) {
        const bool isKept = std::any_of(
            kept.begin(), kept.end(), [&, id = endpoint](const EndpointUsage& each) { return each.endpoint == id; });
        if (usage.promptTokens > 0 && !isKept)
            this->setPendingPrompts(sender, { endpoint, 0, 0, 0 }, now);
    }
}

double PeerLoadTable::unreadPromptTokens(std::uint32_t endpoint, Instant now) const
{
    const auto found = this->pendingPrompts.find(endpoint);
    return found == this->pendingPrompts.end() ? 0 : found->second.unreadTokens(now);
}

void PeerLoadTable::clearUsages(Peer& peer)
{
    for (const auto& [endpoint, usage] : peer.usages)
        this->removeFromTotals(usage);
    peer.usages.clear();
}

void PeerLoadTable::updateCompleteness()
{
    this->complete = this->members
        && std::all_of(this->members->begin(), this->members->end(),
            [&](const GatewayMember& member) { return this->peers.contains(member.instance); });
}

EndpointUsage PeerLoadTable::peerLoad(std::uint32_t endpoint) const
{
    const auto found = this->totals.find(endpoint);
    return found == this->totals.end() ? EndpointUsage { endpoint, 0, 0, 0 } : found->second;
}

std::size_t PeerLoadTable::gatewayCount() const
{
    const std::size_t peerCount = this->peers.size();
    if (!this->members)
        return std::max(peerCount + 1, this->limits.assumedGateways);
    return std::max(peerCount, this->members->size()) + 1;
}

bool PeerLoadTable::hasServingPeerIn(const ZoneId& zone) const
{
    return std::any_of(this->otherMembers().begin(), this->otherMembers().end(), [&](const GatewayMember& member) {
        const auto peer = this->peers.find(member.instance);
        return member.zone == zone && peer != this->peers.end() && !peer->second.isDraining;
    });
}

const std::vector<GatewayMember>& PeerLoadTable::otherMembers() const
{
    static const std::vector<GatewayMember> none;
    return this->members ? *this->members : none;
}

std::vector<Address> PeerLoadTable::receiverAddresses() const
{
    std::vector<Address> addresses;
    for (const GatewayMember& member : this->otherMembers())
        addresses.push_back(member.address);
    return addresses;
}

std::vector<Address> PeerLoadTable::addressesPreferring(
    const std::vector<EndpointUsage>& usages, std::size_t engineCount) const
{
    std::vector<Address> addresses;
    for (const GatewayMember& member : this->otherMembers()) {
        const bool isConcerned = std::any_of(usages.begin(), usages.end(),
            [&](const EndpointUsage& usage) { return prefersEngine(member.instance, usage.endpoint, engineCount); });
        if (isConcerned)
            addresses.push_back(member.address);
    }
    return addresses;
}

std::vector<Address> PeerLoadTable::addressesInZone(const ZoneId& zone) const
{
    std::vector<Address> addresses;
    for (const GatewayMember& member : this->otherMembers()) {
        if (member.zone == zone)
            addresses.push_back(member.address);
    }
    return addresses;
}

}
