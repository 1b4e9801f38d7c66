#include "core/gateway/EndpointRateLimits.h"

#include "core/gateway/EndpointHash.h"

#include <algorithm>

namespace teaselfold {

namespace {

    /** Keeps the datagrams within one Ethernet frame. */
    constexpr std::size_t maxReports = 16;
    /** Time in which a process that was suspended reads what it was sent meanwhile. */
    constexpr Milliseconds catchUpTime(500);
    /** Time for which the others are told that a limit is over. */
    constexpr Milliseconds liftedReportTime(5000);

    /**
     * @return a number from 0 to 1 that differs between gateways, so that those that hear of a limit at the same time
     * do not all send a request at once.
     */
    double initialCreditOf(const GatewayId& gateway, const EndpointId& endpoint)
    {
        constexpr double hashRange = 18446744073709551616.0;
        return static_cast<double>(hashOf(gateway.get() + " " + endpoint.get())) / hashRange;
    }

}

void EndpointRateLimits::add(const EndpointId& endpoint, const ServiceId& service)
{
    const std::uint32_t hash = endpointHashOf(endpoint);
    this->entries[endpoint] = { service, hash, RateLimit(initialCreditOf(this->self, endpoint)) };
    this->endpointByHash[hash] = endpoint;
    this->limited.erase(endpoint);
}

void EndpointRateLimits::remove(const EndpointId& endpoint)
{
    const auto found = this->entries.find(endpoint);
    if (found == this->entries.end())
        return;
    this->endpointByHash.erase(found->second.hash);
    this->entries.erase(found);
    this->limited.erase(endpoint);
}

void EndpointRateLimits::recordSuspension(Instant now) { this->suspensionHandledAt = now; }

bool EndpointRateLimits::recordStatement(
    const EndpointId& endpoint, std::optional<double> requestsPerSecond, Instant at, Instant now)
{
    const auto found = this->entries.find(endpoint);
    if (found == this->entries.end())
        return false;
    RateLimit& limit = found->second.limit;
    const bool catchesUp = this->suspensionHandledAt && now - *this->suspensionHandledAt < catchUpTime;
    const bool lowers = requestsPerSecond && (!limit.stated() || *requestsPerSecond < *limit.stated());
    if ((catchesUp && !lowers) || !limit.state(requestsPerSecond, at, now))
        return false;
    this->limited.insert(endpoint);
    return true;
}

bool EndpointRateLimits::recordAnswer(const EndpointId& endpoint, std::optional<double> requestsPerSecond, Instant now)
{
    return this->recordStatement(endpoint, requestsPerSecond, now, now);
}

std::vector<EndpointId> EndpointRateLimits::merge(
    const GatewayId& sender, const std::vector<RateLimitReport>& reports, Instant now)
{
    this->demand.merge(sender, reports, now);
    std::vector<EndpointId> changed;
    for (const RateLimitReport& report : reports) {
        const auto endpoint = this->endpointByHash.find(report.endpoint);
        if (endpoint != this->endpointByHash.end()
            && this->recordStatement(endpoint->second, report.requestsPerSecond, now - report.age, now))
            changed.push_back(endpoint->second);
    }
    return changed;
}

std::vector<RateLimitReport> EndpointRateLimits::reports(Instant now) const
{
    std::vector<RateLimitReport> reports;
    for (const EndpointId& endpoint : this->limited) {
        const Entry& entry = this->entries.at(endpoint);
        const auto statedAt = entry.limit.statedAt();
        if (!entry.limit.stated() && !(entry.limit.wasLifted() && now - *statedAt < liftedReportTime))
            continue;
        reports.push_back({ entry.hash, entry.limit.stated(), std::chrono::duration_cast<Milliseconds>(now - *statedAt),
            this->demand.ownDemand(entry.service, now) });
    }
    std::sort(reports.begin(), reports.end(),
        [](const RateLimitReport& left, const RateLimitReport& right) { return left.age < right.age; });
    reports.resize(std::min(reports.size(), maxReports));
    return reports;
}

std::optional<double> EndpointRateLimits::rateOf(const EndpointId& endpoint) const
{
    const auto found = this->entries.find(endpoint);
    return found == this->entries.end() ? std::nullopt : found->second.limit.stated();
}

void EndpointRateLimits::tick(Instant now)
{
    this->demand.expire(now);
    // The share changes all the time, so credit is added in small steps.
    for (const EndpointId& endpoint : this->limited) {
        Entry& entry = this->entries.at(endpoint);
        entry.limit.refill(this->shareOf(entry, now), now);
    }
    std::erase_if(this->limited, [&](const EndpointId& endpoint) {
        const RateLimit& limit = this->entries.at(endpoint).limit;
        return !limit.stated() && now - *limit.statedAt() >= liftedReportTime;
    });
}

EndpointRateLimits::Entry* EndpointRateLimits::findLimited(const EndpointId& endpoint)
{
    if (!this->limited.contains(endpoint))
        return nullptr;
    Entry& entry = this->entries.at(endpoint);
    return entry.limit.stated() ? &entry : nullptr;
}

const EndpointRateLimits::Entry* EndpointRateLimits::findLimited(const EndpointId& endpoint) const
{
    if (!this->limited.contains(endpoint))
        return nullptr;
    const Entry& entry = this->entries.at(endpoint);
    return entry.limit.stated() ? &entry : nullptr;
}

double EndpointRateLimits::shareOf(const Entry& entry, Instant now) const
{
    return this->demand.shareOf(entry.hash, { entry.limit.rate(), this->gatewayCount }, now);
}

double EndpointRateLimits::expectedShareOf(const Entry& entry, Instant now) const
{
    return this->demand.expectedShareOf(entry.hash, entry.service, { entry.limit.rate(), this->gatewayCount }, now);
}

bool EndpointRateLimits::allows(const EndpointId& endpoint, double debt, Instant now)
{
    Entry* entry = this->findLimited(endpoint);
    if (!entry)
        return true;
    const double share = this->shareOf(*entry, now);
    entry->limit.refill(share, now);
    entry->limit.limitSaved(share, this->gatewayCount, now);
    return entry->limit.allows(debt * share);
}

void EndpointRateLimits::recordSent(const EndpointId& endpoint)
{
    if (Entry* entry = this->findLimited(endpoint))
        entry->limit.spend();
}

Duration EndpointRateLimits::timeUntilAllowed(const EndpointId& endpoint, Instant now) const
{
    const Entry* entry = this->findLimited(endpoint);
    return entry ? entry->limit.timeUntilAllowed(this->expectedShareOf(*entry, now)) : Duration(0);
}

std::optional<Duration> EndpointRateLimits::intervalOf(const ServiceId& service, Instant now) const
{
    double perSecond = 0;
    for (const EndpointId& endpoint : this->limited) {
        const Entry& entry = this->entries.at(endpoint);
        if (entry.service != service)
            continue;
        // Endpoints without a limit take no requests now either, or nobody would have to wait for a limit.
        const auto interval = entry.limit.interval(this->expectedShareOf(entry, now));
        if (interval)
            perSecond += 1 / std::chrono::duration<double>(*interval).count();
    }
    if (perSecond == 0)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / perSecond));
}

}
