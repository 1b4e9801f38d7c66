#include "core/gateway/EndpointDirectory.h"

#include "core/gateway/EndpointHash.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace teaselfold {

namespace {

    /** Time constant of the moving averages, in measurements. */
    constexpr int averagingWindow = 16;
    /** A time longer than this multiple of the average is counted as this multiple. */
    constexpr int outlierFactor = 3;
    /** Time after a rest in which an endpoint gets requests at intervals, so that it is not full again at once. */
    constexpr Milliseconds returnTime(1000);
    constexpr Milliseconds returnInterval(50);
    /** Resumptions during a rest; the endpoint has reserved the room for them. */
    constexpr std::uint32_t maxResumptionsPerRest = 1;
    /** The same for streams whose runs were stopped: they have nowhere else to go. */
    constexpr std::uint32_t maxStoppedRunsPerRest = 2;
    /** Time for which a leaving endpoint takes its stopped runs back; shorter than the time for which it works on. */
    constexpr Milliseconds returnPeriod(500);
    /**
     * Requests of all gateways together beyond a rate limit, for streams that would be lost otherwise and for those
     * whose runs were stopped.
     */
    constexpr double resumptionDebt = 1.5;
    constexpr double stoppedRunDebt = 2;

    /** Adds a measured time to a moving average. */
    void addToAverage(std::optional<Duration>& average, Duration time)
    {
        if (!average) {
            average = time;
            return;
        }
        // A single long pause is caused by a preemption or a prefill and says little about the engine's speed.
        const Duration bounded = std::min(time, *average * outlierFactor);
        *average += (bounded - *average) / averagingWindow;
    }

}

bool EndpointDirectory::applyRecord(const EndpointRecord& record, Instant now)
{
    const auto [entry, isNew] = this->endpoints.try_emplace(record.id);
    GatewayEndpoint& endpoint = entry->second;
    const bool restarted = !isNew && endpoint.record.startedAt != record.startedAt;
    const bool wasUsable = !isNew && !isLeaving(endpoint);
    if (isNew || restarted) {
        this->limitsOfRate.add(record.id, record.service);
        endpoint.knownSince = now;
    }
    if (restarted) {
        endpoint.consecutiveFailures = 0;
        endpoint.externalLoad = {};
        endpoint.pace = {};
        endpoint.copyTokens = 0;
        endpoint.restsUntil = Instant {};
        endpoint.eventInterval.reset();
        endpoint.firstEventTime.reset();
    }
    endpoint.record = record;
    endpoint.idHash = endpointHashOf(record.id);
    endpoint.announcedLeaving = this->leavingEndpoints.contains(record.id, record.startedAt);
    if (!isLeaving(endpoint))
        endpoint.leavingSince.reset();
    else if (wasUsable)
        endpoint.leavingSince = now;
    endpoint.removalDueAt.reset();
    endpoint.coldUntil = std::max(restarted ? now : endpoint.coldUntil, now + record.coldRemaining);
    return wasUsable && record.isDraining;
}

bool EndpointDirectory::differs(const EndpointRecord& record, Instant now) const
{
    /** Warm-up times are read with a delay, so their ends differ a little. */
    constexpr Milliseconds warmUpTolerance(250);
    const auto found = this->endpoints.find(record.id);
    if (found == this->endpoints.end() || found->second.removalDueAt)
        return true;
    const bool isLonger = now + record.coldRemaining > std::max(found->second.coldUntil, now) + warmUpTolerance;
    EndpointRecord known = found->second.record;
    known.coldRemaining = record.coldRemaining;
    return isLonger || known != record;
}

EndpointsChanged EndpointDirectory::differences(const EndpointsChanged& changes, Instant now) const
{
    EndpointsChanged different;
    for (const EndpointRecord& record : changes.changed) {
        if (this->differs(record, now))
            different.changed.push_back(record);
    }
    for (const EndpointId& id : changes.removed) {
        if (this->endpoints.contains(id))
            different.removed.push_back(id);
    }
    return different;
}

DirectoryChange EndpointDirectory::replaceAll(
    const std::vector<EndpointRecord>& records, std::optional<Instant> graceUntil, Instant now)
{
    std::set<EndpointId> present;
    for (const EndpointRecord& record : records)
        present.insert(record.id);
    EndpointsChanged changes { records, {} };
    for (const auto& [id, endpoint] : this->endpoints) {
        if (!present.contains(id) && !endpoint.removalDueAt)
            changes.removed.push_back(id);
    }
    return this->applyChanges(changes, graceUntil, now);
}

std::vector<EndpointRecord> EndpointDirectory::takeUnconfirmed(std::vector<EndpointRecord>& records) const
{
    const auto firstUnknown = std::stable_partition(records.begin(), records.end(),
        [&](const EndpointRecord& record) { return this->endpoints.contains(record.id); });
    std::vector<EndpointRecord> unknown(firstUnknown, records.end());
    records.erase(firstUnknown, records.end());
    for (EndpointRecord& record : records) {
        const EndpointRecord& known = this->endpoints.at(record.id).record;
        record.isDraining = record.isDraining || (known.isDraining && known.startedAt == record.startedAt);
    }
    return unknown;
}

DirectoryChange EndpointDirectory::applyChanges(
    const EndpointsChanged& changes, std::optional<Instant> graceUntil, Instant now)
{
    DirectoryChange change;
    for (const EndpointRecord& record : changes.changed) {
        if (this->applyRecord(record, now))
            change.leaving.push_back(record.id);
    }
    for (const EndpointId& id : changes.removed) {
        const auto found = this->endpoints.find(id);
        if (found == this->endpoints.end())
            continue;
        if (found->second.removalDueAt)
            continue;
        if (graceUntil && !isLeaving(found->second)) {
            found->second.removalDueAt = graceUntil;
            change.kept.push_back(id);
            continue;
        }
        if (!isLeaving(found->second))
            change.leaving.push_back(id);
        this->remove(found, now);
    }
    return change;
}

std::vector<EndpointId> EndpointDirectory::expire(Instant now)
{
    std::vector<EndpointId> removed;
    for (auto entry = this->endpoints.begin(); entry != this->endpoints.end();) {
        const bool isExpired = entry->second.removalDueAt && *entry->second.removalDueAt <= now;
        if (isExpired)
            removed.push_back(entry->first);
        entry = isExpired ? this->remove(entry, now) : std::next(entry);
    }
    this->leavingEndpoints.expire(now);
    return removed;
}

std::map<EndpointId, GatewayEndpoint>::iterator EndpointDirectory::remove(
    std::map<EndpointId, GatewayEndpoint>::iterator endpoint, Instant now)
{
    this->leavingEndpoints.recordRemoval(endpoint->first, now);
    this->limitsOfRate.remove(endpoint->first);
    return this->endpoints.erase(endpoint);
}

GatewayEndpoint* EndpointDirectory::find(const EndpointId& endpoint)
{
    const auto found = this->endpoints.find(endpoint);
    return found == this->endpoints.end() ? nullptr : &found->second;
}

std::vector<const GatewayEndpoint*> EndpointDirectory::endpointsOf(const ServiceId& service) const
{
    std::vector<const GatewayEndpoint*> found;
    for (const auto& [id, endpoint] : this->endpoints) {
        if (endpoint.record.service == service)
            found.push_back(&endpoint);
    }
    return found;
}

bool EndpointDirectory::hasAllowedVersion(const GatewayEndpoint& endpoint) const
{
    const auto rule = this->versionRules.find(endpoint.record.service);
    return rule == this->versionRules.end() || rule->second.allows(endpoint.record.version);
}

bool EndpointDirectory::isUsable(const GatewayEndpoint& endpoint) const
{
    return !isLeaving(endpoint) && this->hasAllowedVersion(endpoint)
        && !this->zonesOutOfService.contains(endpoint.record.zone);
}

bool EndpointDirectory::acceptsRequests(const EndpointId& endpoint) const
{
    const auto found = this->endpoints.find(endpoint);
    return found != this->endpoints.end() && this->isUsable(found->second);
}

bool EndpointDirectory::isBelowColdLimit(
    GatewayEndpoint& endpoint, const GatewayService& service, std::size_t gatewayCount, Instant now) const
{
    if (endpoint.coldUntil <= now) {
        endpoint.sentWhileCold.clear();
        return true;
    }
    auto& sent = endpoint.sentWhileCold;
    // The endpoint applies the limit to arrivals, which may be closer together than the sends counted here. The window
    // is therefore a little longer than the one second of the limit.
    constexpr Milliseconds window(1200);
    while (!sent.empty() && sent.front() + window <= now)
        sent.pop_front();
    const double limit = service.coldRequestsPerSecond * this->limits.coldFactor + this->limits.coldHeadroom;
    return static_cast<double>(sent.size())
        < std::max(1.0, std::floor(limit * this->limits.sharedQuotaFraction / static_cast<double>(gatewayCount)));
}

std::vector<GatewayEndpoint*> EndpointDirectory::candidates(
    const GatewayService& service, std::size_t gatewayCount, Instant now)
{
    this->limitsOfRate.setGatewayCount(gatewayCount);
    std::vector<GatewayEndpoint*> healthy;
    std::vector<GatewayEndpoint*> ejected;
    for (auto& [id, endpoint] : this->endpoints) {
        if (endpoint.record.service != service.name || !this->isUsable(endpoint))
            continue;
        if (isHeldBack(endpoint, now))
            continue;
        if (!this->isBelowColdLimit(endpoint, service, gatewayCount, now))
            continue;
        if (!this->limitsOfRate.allows(id, 0, now))
            continue;
        (endpoint.ejectedUntil > now ? ejected : healthy).push_back(&endpoint);
    }
    return healthy.empty() ? ejected : healthy;
}

std::size_t EndpointDirectory::usableEndpointsBeside(std::uint32_t endpoint) const
{
    const auto found = std::find_if(this->endpoints.begin(), this->endpoints.end(),
        [&](const auto& entry) { return entry.second.idHash == endpoint; });
    if (found == this->endpoints.end())
        return 0;
    return static_cast<std::size_t>(
        std::count_if(this->endpoints.begin(), this->endpoints.end(), [&](const auto& each) {
            return each.second.record.service == found->second.record.service && this->isUsable(each.second);
        }));
}

std::vector<EndpointUsage> EndpointDirectory::usages() const
{
    std::vector<EndpointUsage> usages;
    for (const auto& [id, endpoint] : this->endpoints) {
        const std::uint64_t tokens = endpoint.tokensInFlight + endpoint.copyTokens;
        if (endpoint.inFlight > 0 || tokens > 0)
            usages.push_back({ endpoint.idHash, endpoint.inFlight, static_cast<std::uint32_t>(tokens),
                static_cast<std::uint32_t>(endpoint.promptTokens) });
    }
    return usages;
}

void EndpointDirectory::beginExchange(const EndpointId& endpoint, std::uint64_t tokens, Instant now)
{
    if (GatewayEndpoint* found = this->find(endpoint)) {
        ++found->inFlight;
        found->tokensInFlight += tokens;
        found->lastSentAt = now;
        this->limitsOfRate.recordSent(endpoint);
        found->sentWhileResting += found->restsUntil > now ? 1 : 0;
        if (found->coldUntil > now)
            found->sentWhileCold.push_back(now);
    }
}

void EndpointDirectory::endExchange(const EndpointId& endpoint, std::uint64_t tokens)
{
    if (GatewayEndpoint* found = this->find(endpoint)) {
        found->inFlight -= std::min<std::uint32_t>(found->inFlight, 1);
        found->tokensInFlight -= std::min(found->tokensInFlight, tokens);
    }
}

void EndpointDirectory::addPendingPrompt(const EndpointId& endpoint, std::uint64_t tokens)
{
    if (GatewayEndpoint* found = this->find(endpoint))
        found->promptTokens += tokens;
    this->hasPromptNews = this->hasPromptNews || tokens > 0;
}

void EndpointDirectory::removePendingPrompt(const EndpointId& endpoint, std::uint64_t tokens)
{
    if (GatewayEndpoint* found = this->find(endpoint))
        found->promptTokens -= std::min(found->promptTokens, tokens);
}

void EndpointDirectory::addCopy(const EndpointId& endpoint, std::uint64_t tokens)
{
    if (GatewayEndpoint* found = this->find(endpoint))
        found->copyTokens += tokens;
}

void EndpointDirectory::removeCopy(const EndpointId& endpoint, std::uint64_t tokens)
{
    if (GatewayEndpoint* found = this->find(endpoint))
        found->copyTokens -= std::min(found->copyTokens, tokens);
}

void EndpointDirectory::recordEventInterval(const EndpointId& endpoint, Duration interval)
{
    if (GatewayEndpoint* found = this->find(endpoint)) {
        addToAverage(found->eventInterval, interval);
        found->pace.recordInterval(interval);
    }
}

void EndpointDirectory::recordFirstEvent(const EndpointId& endpoint, Duration time)
{
    if (GatewayEndpoint* found = this->find(endpoint))
        addToAverage(found->firstEventTime, time);
}

std::vector<Duration> EndpointDirectory::measuredTimes(
    std::optional<Duration> GatewayEndpoint::*time, Duration assumed, const ServiceId& service) const
{
    std::vector<Duration> times { assumed };
    for (const auto& [id, endpoint] : this->endpoints) {
        if (endpoint.record.service == service && endpoint.*time)
            times.push_back(*(endpoint.*time));
    }
    return times;
}

Duration EndpointDirectory::averageEventInterval(const ServiceId& service) const
{
    const auto times = this->measuredTimes(&GatewayEndpoint::eventInterval, assumedEventInterval, service);
    return std::accumulate(times.begin(), times.end(), Duration(0)) / static_cast<Duration::rep>(times.size());
}

Duration EndpointDirectory::shortestEventInterval(const ServiceId& service) const
{
    const auto times = this->measuredTimes(&GatewayEndpoint::eventInterval, Duration(0), service);
    return times.size() < 2 ? Duration(0) : *std::min_element(times.begin() + 1, times.end());
}

Duration EndpointDirectory::longestEventInterval(const ServiceId& service) const
{
    const auto times = this->measuredTimes(&GatewayEndpoint::eventInterval, assumedEventInterval, service);
    return *std::max_element(times.begin(), times.end());
}

Duration EndpointDirectory::longestFirstEventTime(const ServiceId& service) const
{
    const auto times = this->measuredTimes(&GatewayEndpoint::firstEventTime, assumedFirstEventTime, service);
    return *std::max_element(times.begin(), times.end());
}

Duration EndpointDirectory::resumptionTime(const EndpointId& endpoint) const
{
    const auto found = this->endpoints.find(endpoint);
    const bool isMeasured = found != this->endpoints.end() && found->second.firstEventTime;
    const Duration measured = isMeasured ? *found->second.firstEventTime : Duration(assumedFirstEventTime);
    return std::min<Duration>(measured, assumedFirstEventTime);
}

void EndpointDirectory::recordLoad(const EndpointId& endpoint, const ReportedLoad& load, Instant now)
{
    if (GatewayEndpoint* found = this->find(endpoint)) {
        const std::uint32_t total = load.running + load.waiting;
        found->externalLoad.record(total > found->inFlight ? total - found->inFlight : 0, now);
        if (load.slowdown && found->pace.recordSlowdown(*load.slowdown, now))
            this->slowdowns[found->record.service].record(*load.slowdown);
    }
}

std::vector<EndpointCondition> EndpointDirectory::conditions(Instant now) const
{
    std::vector<EndpointCondition> conditions;
    for (const auto& [id, endpoint] : this->endpoints) {
        if (const auto condition = endpoint.pace.condition(endpoint.idHash, now))
            conditions.push_back(*condition);
    }
    return conditions;
}

void EndpointDirectory::mergeConditions(const std::vector<EndpointCondition>& conditions, Instant now)
{
    if (conditions.empty())
        return;
    for (auto& [id, endpoint] : this->endpoints) {
        const std::uint32_t hash = endpoint.idHash;
        const auto condition = std::find_if(
            conditions.begin(), conditions.end(), [&](const EndpointCondition& each) { return each.endpoint == hash; });
        if (condition == conditions.end())
            continue;
        if (const auto slowdown = endpoint.pace.merge(*condition, now))
            this->slowdowns[endpoint.record.service].record(*slowdown);
    }
}

const SlowdownShares& EndpointDirectory::slowdownShares(const ServiceId& service) const
{
    static const SlowdownShares none;
    const auto found = this->slowdowns.find(service);
    return found == this->slowdowns.end() ? none : found->second;
}

void EndpointDirectory::recordSuccess(const EndpointId& endpoint)
{
    if (GatewayEndpoint* found = this->find(endpoint)) {
        found->consecutiveFailures = 0;
        found->ejectedUntil = Instant {};
    }
}

bool EndpointDirectory::recordLeaving(const EndpointId& endpoint, Instant now)
{
    GatewayEndpoint* found = this->find(endpoint);
    if (!found)
        return false;
    if (!isLeaving(*found))
        found->leavingSince = now;
    found->announcedLeaving = true;
    return this->leavingEndpoints.add(endpoint, found->record.startedAt) && !found->record.isDraining;
}

bool EndpointDirectory::recordRest(const EndpointId& endpoint, Milliseconds time, Instant now)
{
    GatewayEndpoint* found = this->find(endpoint);
    if (!found)
        return false;
    const bool wasResting = found->restsUntil > now;
    if (!wasResting)
        found->sentWhileResting = 0;
    found->restsUntil = std::max(found->restsUntil, now + time);
    return !wasResting;
}

bool EndpointDirectory::isResting(const EndpointId& endpoint, Instant now) const
{
    const auto found = this->endpoints.find(endpoint);
    return found != this->endpoints.end() && found->second.restsUntil > now;
}

bool EndpointDirectory::acceptsResumption(const EndpointId& endpoint, Instant now)
{
    return this->acceptsRequests(endpoint)
        && (!this->isResting(endpoint, now) || this->endpoints.at(endpoint).sentWhileResting < maxResumptionsPerRest)
        && this->limitsOfRate.allows(endpoint, resumptionDebt, now);
}

bool EndpointDirectory::acceptsStoppedRun(const EndpointId& endpoint, Instant now)
{
    const auto found = this->endpoints.find(endpoint);
    return found != this->endpoints.end() && this->hasAllowedVersion(found->second)
        && (found->second.restsUntil <= now || found->second.sentWhileResting < maxStoppedRunsPerRest)
        && this->limitsOfRate.allows(endpoint, stoppedRunDebt, now);
}

bool EndpointDirectory::acceptsReturn(const EndpointId& endpoint, Instant now)
{
    if (!this->acceptsStoppedRun(endpoint, now))
        return false;
    const GatewayEndpoint& found = this->endpoints.at(endpoint);
    const bool hasJustBegunToLeave = found.leavingSince && now - *found.leavingSince < returnPeriod;
    return !this->zonesOutOfService.contains(found.record.zone) && (!isLeaving(found) || hasJustBegunToLeave);
}

std::string_view EndpointDirectory::stateName(const EndpointId& endpoint, Instant now) const
{
    const auto found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end())
        return "gone";
    if (isLeaving(found->second))
        return "leaving";
    if (!this->hasAllowedVersion(found->second))
        return "version_not_allowed";
    if (this->zonesOutOfService.contains(found->second.record.zone))
        return "zone_out";
    if (this->isResting(endpoint, now))
        return "resting";
    return this->limitsOfRate.timeUntilAllowed(endpoint, now) > Duration(0) ? "rate_limited" : "ready";
}

bool EndpointDirectory::isHeldBack(const GatewayEndpoint& endpoint, Instant now)
{
    const bool hasJustRested = now < endpoint.restsUntil + returnTime;
    return now < endpoint.restsUntil || (hasJustRested && now < endpoint.lastSentAt + returnInterval);
}

std::optional<ServiceReturn> EndpointDirectory::nextReturn(const ServiceId& service, Instant now) const
{
    bool hasEndpoints = false;
    std::optional<ServiceReturn> earliest;
    for (const auto& [id, endpoint] : this->endpoints) {
        if (endpoint.record.service != service || !this->hasAllowedVersion(endpoint))
            continue;
        hasEndpoints = true;
        if (!this->isUsable(endpoint))
            continue;
        const Duration untilRate = this->limitsOfRate.timeUntilAllowed(id, now);
        const Duration untilRested = endpoint.restsUntil - now;
        if (untilRate <= Duration(0) && untilRested <= Duration(0))
            return std::nullopt;
        const ServiceReturn next { std::chrono::ceil<Milliseconds>(std::max(untilRate, untilRested)),
            untilRate > untilRested };
        if (!earliest || next.time < earliest->time)
            earliest = next;
    }
    if (!hasEndpoints)
        return std::nullopt;
    return earliest.value_or(ServiceReturn {});
}

bool EndpointDirectory::recordFailure(const EndpointId& endpoint, Instant now)
{
    GatewayEndpoint* found = this->find(endpoint);
    if (!found || ++found->consecutiveFailures < this->limits.ejectionFailures)
        return false;
    // After the ejection, a single failure ejects the endpoint again.
    found->consecutiveFailures = this->limits.ejectionFailures - 1;
    found->ejectedUntil = now + this->limits.ejectionTime;
    return true;
}

}
