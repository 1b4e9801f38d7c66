#include "core/gateway/NewsComposer.h"

#include <algorithm>

namespace teaselfold {

namespace {

    /** Heads of IP and UDP, and the fields of news beside the shares. */
    constexpr std::size_t fixedBytes = 96;
    /** One endpoint's share in a datagram. */
    constexpr std::size_t shareBytes = 16;
    /** Time for which unused bytes are saved up. */
    constexpr Milliseconds burstTime(500);

}

Milliseconds fullNewsPeriod(const GatewayLimits& limits, std::size_t receivers)
{
    return std::max(
        limits.minFullGossipInterval, limits.fullGossipIntervalPerReceiver * static_cast<Milliseconds::rep>(receivers));
}

void NewsComposer::refill(Instant now)
{
    const auto bytesIn
        = [&](std::chrono::duration<double> time) { return this->limits.gossipBytesPerSecond * (time / Seconds(1)); };
    const double most = bytesIn(burstTime);
    const double earned = this->refilledAt ? bytesIn(now - *this->refilledAt) : most;
    this->refilledAt = now;
    this->available = std::min(most, this->available + earned);
}

void NewsComposer::spend(std::size_t usages, std::size_t receivers)
{
    this->available -= static_cast<double>((fixedBytes + usages * shareBytes) * receivers);
}

std::vector<EndpointUsage> NewsComposer::changedShares(const std::vector<EndpointUsage>& usages) const
{
    std::vector<EndpointUsage> changed;
    std::unordered_map<std::uint32_t, EndpointUsage> ended = this->told;
    for (const EndpointUsage& share : usages) {
        ended.erase(share.endpoint);
        const auto before = this->told.find(share.endpoint);
        if (before == this->told.end() || before->second != share)
            changed.push_back(share);
    }
    for (const auto& [endpoint, share] : ended)
        changed.push_back({ endpoint, 0, 0, 0 });
    return changed;
}

GossipMessage NewsComposer::news(const NewsContent& content, std::vector<EndpointUsage> usages)
{
    this->spend(usages.size(), content.receivers);
    this->told.clear();
    for (const EndpointUsage& share : content.usages)
        this->told[share.endpoint] = share;
    return { this->self, this->incarnation, ++this->sequence, content.isDraining, false, std::move(usages),
        content.suspects };
}

std::optional<GossipMessage> NewsComposer::compose(const NewsContent& content, Instant now)
{
    this->refill(now);
    if (!this->toldAllAt || now - *this->toldAllAt >= fullNewsPeriod(this->limits, content.receivers)) {
        this->toldAllAt = now;
        return this->news(content, content.usages);
    }
    if (this->available <= 0)
        return std::nullopt;
    auto changed = this->changedShares(content.usages);
    if (changed.empty())
        return std::nullopt;
    GossipMessage partial = this->news(content, std::move(changed));
    partial.isPartial = true;
    partial.instance = GatewayId();
    return partial;
}

}
