#include "core/gateway/DemandShares.h"

#include <algorithm>
#include <cmath>

namespace teaselfold {

namespace {

    /** Time constant of the decaying count. */
    constexpr Milliseconds countingTime(2000);
    /** Age beyond which another gateway's report no longer counts; several reports may be lost in this time. */
    constexpr Milliseconds maxReportAge(4000);
    /** Requests per second of a gateway without recent requests. */
    constexpr double minDemand = 0.01;

    double secondsOf(Duration time) { return std::chrono::duration<double>(time).count(); }

}

double DemandShares::decayed(const Count& count, Instant now)
{
    return count.requests * std::exp(-std::max(secondsOf(now - count.at), 0.0) / secondsOf(countingTime));
}

void DemandShares::recordRequest(const ServiceId& service, Instant now)
{
    Count& count = this->own[service];
    count = { decayed(count, now) + 1, now };
}

double DemandShares::ownDemand(const ServiceId& service, Instant now) const
{
    const auto found = this->own.find(service);
    const double recent = found == this->own.end() ? 0 : decayed(found->second, now);
    return std::max(recent / secondsOf(countingTime), minDemand);
}

void DemandShares::merge(const GatewayId& sender, const std::vector<RateLimitReport>& received, Instant now)
{
    for (const RateLimitReport& report : received)
        this->reports[report.endpoint][sender] = { std::max(report.demand, minDemand), now };
}

void DemandShares::expire(Instant now)
{
    for (auto& [endpoint, senders] : this->reports)
        std::erase_if(senders, [&](const auto& entry) { return now - entry.second.receivedAt > maxReportAge; });
    std::erase_if(this->reports, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(this->own, [&](const auto& entry) { return decayed(entry.second, now) < minDemand; });
}

double DemandShares::shareOf(
    std::uint32_t endpoint, const ServiceId& service, std::size_t gatewayCount, Instant now) const
{
    const double ownRate = this->ownDemand(service, now);
    double known = ownRate;
    std::size_t knownCount = 1;
    if (const auto found = this->reports.find(endpoint); found != this->reports.end()) {
        for (const auto& [sender, report] : found->second)
            known += report.requestsPerSecond;
        knownCount += found->second.size();
    }
    // A gateway without a report has not heard of the limit yet, so its demand may be an average one.
    const std::size_t unknownCount = std::max(gatewayCount, knownCount) - knownCount;
    const double unknown = known / static_cast<double>(knownCount) * static_cast<double>(unknownCount);
    return this->limits.sharedQuotaFraction * ownRate / (known + unknown);
}

}
