#include "core/gateway/EndpointDirectory.h"

#include "core/entry/Rendezvous.h"

#include <algorithm>
#include <cmath>

namespace teaselfold {

namespace {

    /** Events over which a learned time forgets what was before. */
    constexpr int learningSteps = 16;
    constexpr int outlierFactor = 3;

}

bool EndpointDirectory::apply(const EndpointRecord& record, Instant now)
{
    const auto [entry, isNew] = this->endpoints.try_emplace(record.id);
    GatewayEndpoint& endpoint = entry->second;
    const bool restarted = !isNew && endpoint.record.startedAt != record.startedAt;
    const bool wasUsable = !isNew && !endpoint.record.isDraining;
    if (restarted) {
        endpoint.failuresInRow = 0;
        endpoint.foreignWork = 0;
        endpoint.copyTokens = 0;
        endpoint.eventTime.reset();
    }
    endpoint.record = record;
    endpoint.idHash = static_cast<std::uint32_t>(hashOf(record.id.get()));
    endpoint.removedAt.reset();
    endpoint.coldUntil = std::max(restarted ? now : endpoint.coldUntil, now + record.coldRemaining);
    return wasUsable && record.isDraining;
}

std::vector<EndpointId> EndpointDirectory::list(
    const std::vector<EndpointRecord>& records, std::optional<Instant> graceUntil, Instant now)
{
    std::set<EndpointId> present;
    for (const EndpointRecord& record : records)
        present.insert(record.id);
    EndpointsChanged changes { records, {} };
    for (const auto& [id, endpoint] : this->endpoints) {
        if (!present.contains(id) && !endpoint.removedAt)
            changes.removed.push_back(id);
    }
    return this->change(changes, graceUntil, now);
}

std::vector<EndpointId> EndpointDirectory::change(
    const EndpointsChanged& changes, std::optional<Instant> graceUntil, Instant now)
{
    std::vector<EndpointId> leaving;
    for (const EndpointRecord& record : changes.changed) {
        if (this->apply(record, now))
            leaving.push_back(record.id);
    }
    for (const EndpointId& id : changes.removed) {
        const auto found = this->endpoints.find(id);
        if (found == this->endpoints.end())
            continue;
        if (graceUntil && !found->second.record.isDraining) {
            found->second.removedAt = graceUntil;
            continue;
        }
        if (!found->second.record.isDraining)
            leaving.push_back(id);
        this->endpoints.erase(found);
    }
    return leaving;
}

std::vector<EndpointId> EndpointDirectory::expire(Instant now)
{
    std::vector<EndpointId> gone;
    for (auto entry = this->endpoints.begin(); entry != this->endpoints.end();) {
        const bool over = entry->second.removedAt && *entry->second.removedAt <= now;
        if (over)
            gone.push_back(entry->first);
        entry = over ? this->endpoints.erase(entry) : std::next(entry);
    }
    return gone;
}

GatewayEndpoint* EndpointDirectory::find(const EndpointId& endpoint)
{
    const auto found = this->endpoints.find(endpoint);
    return found == this->endpoints.end() ? nullptr : &found->second;
}

bool EndpointDirectory::isUsable(const GatewayEndpoint& endpoint) const
{
    return !endpoint.record.isDraining && !this->zonesOut.contains(endpoint.record.zone);
}

bool EndpointDirectory::mayWork(const EndpointId& endpoint) const
{
    const auto found = this->endpoints.find(endpoint);
    return found != this->endpoints.end() && this->isUsable(found->second);
}

bool EndpointDirectory::bearsMore(
    GatewayEndpoint& endpoint, const GatewayService& service, std::size_t instances, Instant now) const
{
    if (endpoint.coldUntil <= now) {
        endpoint.sentWhileCold.clear();
        return true;
    }
    auto& sent = endpoint.sentWhileCold;
    // Requests are counted where they arrive, so the span is a little longer than the bound's second.
    constexpr Milliseconds span(1200);
    while (!sent.empty() && sent.front() + span <= now)
        sent.pop_front();
    const double bound = service.coldRequestsPerSecond * this->limits.coldFactor + this->limits.coldHeadroom;
    return static_cast<double>(sent.size())
        < std::max(1.0, std::floor(bound * this->limits.sharedQuotaFraction / static_cast<double>(instances)));
}

std::vector<GatewayEndpoint*> EndpointDirectory::candidates(
    const GatewayService& service, std::size_t instances, Instant now)
{
    std::vector<GatewayEndpoint*> healthy;
    std::vector<GatewayEndpoint*> ejected;
    for (auto& [id, endpoint] : this->endpoints) {
        if (endpoint.record.service != service.name || !this->isUsable(endpoint))
            continue;
        if (!this->bearsMore(endpoint, service, instances, now))
            continue;
        (endpoint.ejectedUntil > now ? ejected : healthy).push_back(&endpoint);
    }
    return healthy.empty() ? ejected : healthy;
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

void EndpointDirectory::begin(const EndpointId& endpoint, std::uint64_t tokens, Instant now)
{
    if (GatewayEndpoint* found = this->find(endpoint)) {
        ++found->inFlight;
        found->tokensInFlight += tokens;
        if (found->coldUntil > now)
            found->sentWhileCold.push_back(now);
    }
}

void EndpointDirectory::finish(const EndpointId& endpoint, std::uint64_t tokens)
{
    if (GatewayEndpoint* found = this->find(endpoint)) {
        found->inFlight -= std::min<std::uint32_t>(found->inFlight, 1);
        found->tokensInFlight -= std::min(found->tokensInFlight, tokens);
    }
}

void EndpointDirectory::addPrompt(const EndpointId& endpoint, std::uint64_t tokens)
{
    if (GatewayEndpoint* found = this->find(endpoint))
        found->promptTokens += tokens;
}

void EndpointDirectory::removePrompt(const EndpointId& endpoint, std::uint64_t tokens)
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

void EndpointDirectory::learnEventTime(const EndpointId& endpoint, Duration time)
{
    GatewayEndpoint* found = this->find(endpoint);
    if (!found)
        return;
    if (!found->eventTime) {
        found->eventTime = time;
        return;
    }
    // A single long pause is a preemption or a prefill and says little of the speed.
    const Duration bounded = std::min(time, *found->eventTime * outlierFactor);
    *found->eventTime += (bounded - *found->eventTime) / learningSteps;
}

void EndpointDirectory::report(const EndpointId& endpoint, const ReportedLoad& load, Instant now)
{
    if (GatewayEndpoint* found = this->find(endpoint)) {
        const std::uint32_t total = load.running + load.waiting;
        found->foreignWork = total > found->inFlight ? total - found->inFlight : 0;
        found->reportedAt = now;
    }
}

void EndpointDirectory::succeed(const EndpointId& endpoint)
{
    if (GatewayEndpoint* found = this->find(endpoint)) {
        found->failuresInRow = 0;
        found->ejectedUntil = Instant {};
    }
}

bool EndpointDirectory::fail(const EndpointId& endpoint, Instant now)
{
    GatewayEndpoint* found = this->find(endpoint);
    if (!found || ++found->failuresInRow < this->limits.ejectionFailures)
        return false;
    // The next trial decides at once: one more failure ejects again.
    found->failuresInRow = this->limits.ejectionFailures - 1;
    found->ejectedUntil = now + this->limits.ejectionTime;
    return true;
}

}
