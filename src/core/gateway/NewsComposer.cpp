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
        limits.shortestFullNewsPeriod, limits.fullNewsPeriodPerReceiver * static_cast<Milliseconds::rep>(receivers));
}

void NewsComposer::refill(Instant now)
{
    const auto bytesIn
        = [&](std::chrono::duration<double> time) { return this->limits.newsBytesPerSecond * (time / Seconds(1)); };
    const double most = bytesIn(burstTime);
    const double earned = this->refilledAt ? bytesIn(now - *this->refilledAt) : most;
    this->refilledAt = now;
    this->available = std::min(most, this->available + earned);
}

void NewsComposer::spend(std::size_t shares, std::size_t receivers)
{
    this->available -= static_cast<double>((fixedBytes + shares * shareBytes) * receivers);
}

std::vector<EndpointShare> NewsComposer::changedShares(const std::vector<EndpointShare>& shares) const
{
    std::vector<EndpointShare> changed;
    std::unordered_map<std::uint32_t, EndpointShare> ended = this->told;
    for (const EndpointShare& share : shares) {
        ended.erase(share.endpoint);
        const auto before = this->told.find(share.endpoint);
        if (before == this->told.end() || before->second != share)
            changed.push_back(share);
    }
    for (const auto& [endpoint, share] : ended)
        changed.push_back({ endpoint, 0, 0, 0 });
    return changed;
}

PeerNews NewsComposer::news(const NewsContent& content, std::vector<EndpointShare> shares)
{
    this->spend(shares.size(), content.receivers);
    this->told.clear();
    for (const EndpointShare& share : content.shares)
        this->told[share.endpoint] = share;
    return { this->self, this->incarnation, ++this->sequence, content.isLeaving, false, std::move(shares),
        content.suspects };
}

std::optional<PeerNews> NewsComposer::compose(const NewsContent& content, Instant now)
{
    this->refill(now);
    if (!this->toldAllAt || now - *this->toldAllAt >= fullNewsPeriod(this->limits, content.receivers)) {
        this->toldAllAt = now;
        return this->news(content, content.shares);
    }
    if (this->available <= 0)
        return std::nullopt;
    auto changed = this->changedShares(content.shares);
    if (changed.empty())
        return std::nullopt;
    PeerNews partial = this->news(content, std::move(changed));
    partial.isPartial = true;
    partial.instance = GatewayId();
    return partial;
}

}
