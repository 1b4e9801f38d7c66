#include "core/gateway/CrashDetector.h"

#include "core/gateway/EndpointHash.h"

#include <algorithm>
#include <utility>

namespace teaselfold {

namespace {

    /** Time after the end of a run within which a refused connection indicates a crash. */
    constexpr Milliseconds suspicionWindow(3000);
    /** A crash may be noticed by a refused connection this long before the connections that it broke. */
    constexpr Milliseconds detectionDelay(250);
    /** Time in which a process that crashes has closed its listening socket too. */
    constexpr Milliseconds probeDelay(100);
    /** Time after which an endpoint that showed nothing is probed again. */
    constexpr Milliseconds probeInterval(1000);
    /** Time in which an endpoint that cannot be reached registers again after a crash. */
    constexpr Milliseconds memoryOfEnds(10000);
    constexpr std::size_t maxEnds = 256;
    constexpr std::size_t maxSentRefusals = 8;

}

void CrashDetector::add(EarlyEnd end)
{
    if (this->ends.size() >= maxEnds)
        this->ends.erase(this->ends.begin());
    if (!this->findEnd(end.endpoint))
        this->probes[end.endpoint] = { end.at + probeDelay, std::nullopt };
    this->ends.push_back(std::move(end));
}

void CrashDetector::recordRefusedConnection(const EndpointId& endpoint, Instant now)
{
    this->addRefusal(endpointHashOf(endpoint), { now, true });
}

void CrashDetector::recordAnswer(const EndpointId& endpoint, Instant sentAt)
{
    if (!this->findEnd(endpoint))
        return;
    Instant& last = this->answers.try_emplace(endpoint, sentAt).first->second;
    last = std::max(last, sentAt);
}

void CrashDetector::merge(const std::vector<RefusedConnection>& refusedConnections, Instant now)
{
    for (const RefusedConnection& refused : refusedConnections)
        this->addRefusal(refused.endpoint, { now - refused.age, false });
}

void CrashDetector::addRefusal(EndpointHash endpoint, Refusal refusal)
{
    const auto [last, isNew] = this->refusals.try_emplace(endpoint, refusal);
    if (!isNew && last->second.at < refusal.at)
        last->second = refusal;
}

std::vector<RefusedConnection> CrashDetector::refusedConnections(Instant now) const
{
    std::vector<RefusedConnection> refused;
    for (const auto& [endpoint, refusal] : this->refusals) {
        if (refusal.isOwn && now - refusal.at <= suspicionWindow)
            refused.push_back({ endpoint, std::chrono::duration_cast<Milliseconds>(now - refusal.at) });
    }
    std::ranges::sort(refused, {}, &RefusedConnection::age);
    if (refused.size() > maxSentRefusals)
        refused.resize(maxSentRefusals);
    return refused;
}

const EarlyEnd* CrashDetector::findEnd(const EndpointId& endpoint) const
{
    const auto found = std::ranges::find(this->ends, endpoint, &EarlyEnd::endpoint);
    return found == this->ends.end() ? nullptr : &*found;
}

std::vector<ProbeEndpoint> CrashDetector::takeDueProbes(Instant now)
{
    std::erase_if(this->probes, [&](const auto& entry) { return !this->findEnd(entry.first); });
    std::vector<ProbeEndpoint> due;
    for (auto& [endpoint, probe] : this->probes) {
        if (probe.dueAt > now)
            continue;
        probe = { now + probeInterval, now };
        due.push_back({ endpoint, this->findEnd(endpoint)->address });
    }
    return due;
}

void CrashDetector::recordProbe(const EndpointId& endpoint, ProbeOutcome outcome, Instant now)
{
    const auto found = this->probes.find(endpoint);
    if (found == this->probes.end() || !found->second.sentAt)
        return;
    const Instant sentAt = *std::exchange(found->second.sentAt, std::nullopt);
    if (outcome == ProbeOutcome::Refused)
        this->recordRefusedConnection(endpoint, sentAt);
    if (outcome != ProbeOutcome::Accepted)
        return;
    this->recordAnswer(endpoint, sentAt);
    // Another run may have ended after the probe was sent.
    found->second.dueAt = std::min(found->second.dueAt, now + probeDelay);
}

bool CrashDetector::hasRefusedSince(const EarlyEnd& end) const
{
    const auto refusal = this->refusals.find(endpointHashOf(end.endpoint));
    return refusal != this->refusals.end() && refusal->second.at >= end.at - detectionDelay
        && refusal->second.at <= end.at + suspicionWindow;
}

bool CrashDetector::hasAnsweredSince(const EarlyEnd& end) const
{
    const auto answer = this->answers.find(end.endpoint);
    return answer != this->answers.end() && answer->second > end.at;
}

CrashDetector::Verdicts CrashDetector::weigh(const std::function<bool(const EarlyEnd& end)>& isReplaced, Instant now)
{
    Verdicts verdicts;
    std::erase_if(this->ends, [&](EarlyEnd& end) {
        const bool crashed = this->hasRefusedSince(end) || isReplaced(end);
        const bool survived = !crashed && this->hasAnsweredSince(end);
        const bool isOutdated = now - end.at >= memoryOfEnds;
        if (crashed || survived)
            (crashed ? verdicts.crashed : verdicts.survived).push_back(std::move(end));
        return crashed || survived || isOutdated;
    });
    return verdicts;
}

void CrashDetector::expire(Instant now)
{
    std::erase_if(this->refusals, [&](const auto& entry) { return now - entry.second.at > suspicionWindow; });
    std::erase_if(this->answers, [&](const auto& entry) { return now - entry.second > memoryOfEnds; });
}

}
