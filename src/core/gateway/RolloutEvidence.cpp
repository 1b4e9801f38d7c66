#include "core/gateway/RolloutEvidence.h"

#include <algorithm>
#include <tuple>

namespace teaselfold {

namespace {

    /** Time of an answer, relative to the average of the previous versions, beyond which it counts as slow. */
    constexpr double slowFactor = 2.5;
    /** Added to that time: short answers vary by what the gateway itself and the network take. */
    constexpr Milliseconds slowAllowance(20);
    /** A single answer adds at most this multiple of the average to the sum of times. */
    constexpr int outlierFactor = 6;
    /** Answers of previous versions from which an average is known. */
    constexpr std::uint32_t minAveragedAnswers = 8;
    /** Entries of one report; keeps the datagram within one Ethernet frame. */
    constexpr std::size_t maxReportedCounts = 20;
    /** Stands for the endpoints of the new version that have no entries of their own in a report. */
    constexpr std::uint32_t otherEndpoints = 1;
    constexpr Milliseconds snapshotInterval(1000);
    constexpr std::size_t maxSnapshots = 4;

    std::uint32_t badAnswers(const RolloutCounts& counts) { return counts.failed + counts.slow; }

}

void RolloutEvidence::add(CountTable& table, const RolloutCounts& counts)
{
    RolloutCounts& sum = table[{ counts.endpoint, counts.route }];
    sum.endpoint = counts.endpoint;
    sum.route = counts.route;
    sum.answered += counts.answered;
    sum.failed += counts.failed;
    sum.slow += counts.slow;
    sum.totalTime += counts.totalTime;
}

void RolloutEvidence::recordSent(bool isFirst, bool isToTarget)
{
    this->ownRequests += isFirst ? 1 : 0;
    this->ownRequestsToTarget += isToTarget ? 1 : 0;
}

void RolloutEvidence::record(const RolloutAnswer& answer)
{
    RolloutCounts counts { answer.endpoint, answer.route, 1, answer.time ? 0U : 1U, 0, Milliseconds(0) };
    if (answer.time) {
        const auto threshold = this->slowThreshold(answer.route);
        counts.slow = threshold && *answer.time > *threshold ? 1 : 0;
        const Duration bounded = threshold ? std::min(*answer.time, *threshold * outlierFactor) : *answer.time;
        counts.totalTime = std::chrono::ceil<Milliseconds>(bounded);
    }
    add(this->ownCounts, counts);
}

void RolloutEvidence::merge(Incarnation sender, const RolloutReport& report)
{
    RolloutReport& known = this->reports[sender];
    // Datagrams may overtake each other, and totals only grow.
    if (report.requests >= known.requests)
        known = report;
}

RolloutEvidence::CountTable RolloutEvidence::totals() const
{
    CountTable sums = this->ownCounts;
    for (const auto& [sender, report] : this->reports) {
        for (const RolloutCounts& counts : report.counts)
            add(sums, counts);
    }
    return sums;
}

void RolloutEvidence::remember(Instant now)
{
    if (!this->snapshots.empty() && now - this->snapshots.back().takenAt < snapshotInterval)
        return;
    this->snapshots.push_back({ now, this->totals() });
    if (this->snapshots.size() > maxSnapshots)
        this->snapshots.pop_front();
}

RolloutEvidence::Requests RolloutEvidence::requests(std::uint32_t ownRunsAtPrevious) const
{
    Requests sum { static_cast<double>(this->ownRequests), static_cast<double>(this->ownRequestsToTarget),
        ownRunsAtPrevious };
    for (const auto& [sender, report] : this->reports) {
        sum.total += report.requests;
        sum.toTarget += report.requestsToTarget;
        sum.runsAtPrevious += report.runsAtPrevious;
    }
    return sum;
}

std::vector<RolloutCounts> RolloutEvidence::counts() const
{
    std::vector<RolloutCounts> list;
    for (const auto& [key, counts] : this->totals())
        list.push_back(counts);
    return list;
}

std::vector<RolloutCounts> RolloutEvidence::recentCounts() const
{
    std::vector<RolloutCounts> list;
    for (auto& [key, counts] : this->totals()) {
        RolloutCounts recent = counts;
        if (!this->snapshots.empty()) {
            const CountTable& before = this->snapshots.front().counts;
            const auto known = before.find(key);
            const RolloutCounts past = known == before.end() ? RolloutCounts {} : known->second;
            recent.answered -= std::min(recent.answered, past.answered);
            recent.failed -= std::min(recent.failed, past.failed);
            recent.slow -= std::min(recent.slow, past.slow);
            recent.totalTime -= std::min(recent.totalTime, past.totalTime);
        }
        list.push_back(recent);
    }
    return list;
}

std::optional<Duration> RolloutEvidence::slowThreshold(std::uint32_t route) const
{
    RolloutCounts previous;
    const auto addKnown = [&](const RolloutCounts& counts) {
        previous.answered += counts.answered - std::min(counts.answered, counts.failed);
        previous.totalTime += counts.totalTime;
    };
    const auto own = this->ownCounts.find({ 0, route });
    if (own != this->ownCounts.end())
        addKnown(own->second);
    for (const auto& [sender, report] : this->reports) {
        for (const RolloutCounts& counts : report.counts) {
            if (counts.endpoint == 0 && counts.route == route)
                addKnown(counts);
        }
    }
    if (previous.answered < minAveragedAnswers)
        return std::nullopt;
    const Duration average = previous.totalTime / previous.answered;
    return std::chrono::duration_cast<Duration>(average * slowFactor) + slowAllowance;
}

void RolloutEvidence::describe(RolloutReport& report) const
{
    report.requests = this->ownRequests;
    report.requestsToTarget = this->ownRequestsToTarget;
    std::vector<RolloutCounts> entries;
    for (const auto& [key, counts] : this->ownCounts)
        entries.push_back(counts);
    // The previous versions' entries first, then those that tell most.
    std::stable_sort(entries.begin(), entries.end(), [](const RolloutCounts& left, const RolloutCounts& right) {
        return std::tuple(left.endpoint != 0, badAnswers(right), right.answered)
            < std::tuple(right.endpoint != 0, badAnswers(left), left.answered);
    });
    CountTable merged;
    for (std::size_t index = 0; index < entries.size(); ++index) {
        RolloutCounts entry = entries[index];
        if (index >= maxReportedCounts)
            entry.endpoint = otherEndpoints;
        add(merged, entry);
    }
    report.counts.clear();
    for (const auto& [key, counts] : merged)
        report.counts.push_back(counts);
}

}
