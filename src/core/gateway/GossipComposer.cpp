#include "core/gateway/GossipComposer.h"

#include <algorithm>

namespace teaselfold {

namespace {

    /** Headers of IP and UDP, and the fields of a message other than the shares. */
    constexpr std::size_t headerBytes = 96;
    /** Encoded size of one endpoint's share. */
    constexpr std::size_t shareBytes = 16;
    /** Time in which the empty token bucket fills up. */
    constexpr Milliseconds burstTime(500);

}

Milliseconds fullStatePeriod(const GatewayLimits& limits, std::size_t receiverCount)
{
    return std::max(limits.shortestFullNewsPeriod,
        limits.fullNewsPeriodPerReceiver * static_cast<Milliseconds::rep>(receiverCount));
}

void GossipComposer::refill(Instant now)
{
    const auto bytesIn
        = [&](std::chrono::duration<double> time) { return this->limits.newsBytesPerSecond * (time / Seconds(1)); };
    const double capacity = bytesIn(burstTime);
    const double refilled = this->refilledAt ? bytesIn(now - *this->refilledAt) : capacity;
    this->refilledAt = now;
    this->availableBytes = std::min(capacity, this->availableBytes + refilled);
}

void GossipComposer::spend(std::size_t shareCount, std::size_t receiverCount)
{
    this->availableBytes -= static_cast<double>((headerBytes + shareCount * shareBytes) * receiverCount);
}

std::vector<EndpointShare> GossipComposer::changedShares(const std::vector<EndpointShare>& shares) const
{
    std::vector<EndpointShare> changed;
    std::unordered_map<std::uint32_t, EndpointShare> ended = this->lastSent;
    for (const EndpointShare& share : shares) {
        ended.erase(share.endpoint);
        const auto last = this->lastSent.find(share.endpoint);
        if (last == this->lastSent.end() || last->second != share)
            changed.push_back(share);
    }
    for (const auto& [endpoint, share] : ended)
        changed.push_back({ endpoint, 0, 0, 0 });
    return changed;
}

PeerNews GossipComposer::makeMessage(const GossipContent& content, std::vector<EndpointShare> shares)
{
    this->spend(shares.size(), content.receiverCount);
    this->lastSent.clear();
    for (const EndpointShare& share : content.shares)
        this->lastSent[share.endpoint] = share;
    return { this->self, this->incarnation, ++this->sequence, content.isLeaving, false, std::move(shares),
        content.suspects };
}

std::optional<PeerNews> GossipComposer::compose(const GossipContent& content, Instant now)
{
    this->refill(now);
    if (!this->fullStateSentAt
        || now - *this->fullStateSentAt >= fullStatePeriod(this->limits, content.receiverCount)) {
        this->fullStateSentAt = now;
        return this->makeMessage(content, content.shares);
    }
    if (this->availableBytes <= 0)
        return std::nullopt;
    auto changed = this->changedShares(content.shares);
    if (changed.empty())
        return std::nullopt;
    PeerNews partial = this->makeMessage(content, std::move(changed));
    partial.isPartial = true;
    partial.instance = GatewayId();
    return partial;
}

}
