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
    return std::max(limits.minFullGossipInterval,
        limits.fullGossipIntervalPerReceiver * static_cast<Milliseconds::rep>(receiverCount));
}

void GossipComposer::refill(Instant now)
{
    const auto bytesIn
        = [&](std::chrono::duration<double> time) { return this->limits.gossipBytesPerSecond * (time / Seconds(1)); };
    const double capacity = bytesIn(burstTime);
    const double refilled = this->refilledAt ? bytesIn(now - *this->refilledAt) : capacity;
    this->refilledAt = now;
    this->availableBytes = std::min(capacity, this->availableBytes + refilled);
}

void GossipComposer::spend(std::size_t shareCount, std::size_t receiverCount)
{
    this->availableBytes -= static_cast<double>((headerBytes + shareCount * shareBytes) * receiverCount);
}

std::vector<EndpointUsage> GossipComposer::changedShares(const std::vector<EndpointUsage>& usages) const
{
    std::vector<EndpointUsage> changed;
    std::unordered_map<std::uint32_t, EndpointUsage> ended = this->lastSent;
    for (const EndpointUsage& share : usages) {
        ended.erase(share.endpoint);
        const auto last = this->lastSent.find(share.endpoint);
        if (last == this->lastSent.end() || last->second != share)
            changed.push_back(share);
    }
    for (const auto& [endpoint, share] : ended)
        changed.push_back({ endpoint, 0, 0, 0 });
    return changed;
}

GossipMessage GossipComposer::makeMessage(const GossipContent& content, std::vector<EndpointUsage> usages)
{
    this->spend(usages.size(), content.receiverCount);
    this->lastSent.clear();
    for (const EndpointUsage& share : content.usages)
        this->lastSent[share.endpoint] = share;
    return { this->self, this->incarnation, ++this->sequence, content.isDraining, false, std::move(usages),
        content.suspects };
}

std::optional<GossipMessage> GossipComposer::compose(const GossipContent& content, Instant now)
{
    this->refill(now);
    if (!this->fullStateSentAt
        || now - *this->fullStateSentAt >= fullStatePeriod(this->limits, content.receiverCount)) {
        this->fullStateSentAt = now;
        return this->makeMessage(content, content.usages);
    }
    if (this->availableBytes <= 0)
        return std::nullopt;
    auto changed = this->changedShares(content.usages);
    if (changed.empty())
        return std::nullopt;
    GossipMessage partial = this->makeMessage(content, std::move(changed));
    partial.isPartial = true;
    partial.instance = GatewayId();
    return partial;
}

}
