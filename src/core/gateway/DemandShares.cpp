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

void DemandShares::recordReported(const std::vector<RateLimitReport>& sent, Instant now)
{
    for (const RateLimitReport& report : sent)
        this->reported[report.endpoint] = { report.demand, now };
}

void DemandShares::merge(const GatewayId& sender, const std::vector<RateLimitReport>& received, Instant now)
{
    for (const RateLimitReport& report : received)
        this->reports[report.endpoint][sender] = { std::max(report.demand, minDemand), now };
}

void DemandShares::expire(Instant now)
{
    for (auto& [endpoint, senders] : this->reports)
        std::erase_if(senders, [&](const auto& entry) { return now - entry.second.at > maxReportAge; });
    std::erase_if(this->reports, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(this->reported, [&](const auto& entry) { return now - entry.second.at > maxReportAge; });
    std::erase_if(this->own, [&](const auto& entry) { return decayed(entry.second, now) < minDemand; });
}

DemandShares::Known DemandShares::othersOf(std::uint32_t endpoint) const
{
    Known others;
    if (const auto found = this->reports.find(endpoint); found != this->reports.end()) {
        for (const auto& [sender, report] : found->second)
            others.requestsPerSecond += report.requestsPerSecond;
        others.count = found->second.size();
    }
    return others;
}

double DemandShares::shareFor(double ownRate, const Known& others, const Divided& divided) const
{
    const double known = ownRate + others.requestsPerSecond;
    const std::size_t knownCount = others.count + 1;
    // A gateway without a report has not heard of the limit yet, so its demand may be an average one.
    const std::size_t gatewayCount = std::max(divided.gatewayCount, knownCount);
    const double total = known / static_cast<double>(knownCount) * static_cast<double>(gatewayCount);
    const double available = divided.requestsPerSecond * this->limits.sharedQuotaFraction;
    if (total >= available)
        return this->limits.sharedQuotaFraction * ownRate / total;
    // All demand fits, and what is left is divided equally, so that a gateway without recent requests can send some.
    return (ownRate + (available - total) / static_cast<double>(gatewayCount)) / divided.requestsPerSecond;
}

double DemandShares::shareOf(std::uint32_t endpoint, const Divided& divided, Instant now) const
{
    const Known others = this->othersOf(endpoint);
    const auto found = this->reported.find(endpoint);
    if (found != this->reported.end() && now - found->second.at <= maxReportAge)
        return this->shareFor(found->second.requestsPerSecond, others, divided);
    // The others take this gateway's demand for an average one.
    const double average = others.count == 0 ? 1 : others.requestsPerSecond / static_cast<double>(others.count);
    return this->shareFor(average, others, divided);
}

double DemandShares::expectedShareOf(
    std::uint32_t endpoint, const ServiceId& service, const Divided& divided, Instant now) const
{
    return this->shareFor(this->ownDemand(service, now), this->othersOf(endpoint), divided);
}

}
