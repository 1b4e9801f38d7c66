#include "core/gateway/GossipComposer.h"

#include <algorithm>
#include <iterator>

namespace teaselfold {

namespace {

    /** Size of the IP and UDP headers and of the message's fields other than the usages. */
    constexpr std::size_t headerBytes = 96;
    /** Encoded size of one endpoint's usage. */
    constexpr std::size_t usageBytes = 16;
    /** Encoded size of a broken run without its parts. */
    constexpr std::size_t brokenStartBytes = 36;
    constexpr std::size_t survivalBytes = 16;
    constexpr std::size_t suspectBytes = 16;
    constexpr std::size_t refusalBytes = 8;
    constexpr std::size_t rateLimitBytes = 20;
    /** Encoded size of a roll-out without its counts. */
    constexpr std::size_t rolloutBytes = 56;
    constexpr std::size_t rolloutCountBytes = 24;
    /** Interval at which the counts of a roll-out are repeated: for each receiver, and its bounds. */
    constexpr Milliseconds rolloutIntervalPerReceiver(20);
    constexpr Milliseconds minRolloutInterval(400);
    constexpr Milliseconds maxRolloutInterval(3600);
    constexpr std::size_t conditionBytes = 8;
    /** Interval at which gateways tell each other their demand for endpoints with a rate limit. */
    constexpr Milliseconds demandInterval(500);
    /** Time in which an empty token bucket is filled. */
    constexpr Milliseconds burstTime(500);
    /** Fraction of a full token bucket beyond which messages that are not urgent need no more bytes left. */
    constexpr double largestReserve = 0.6;
    /** Debt of the token bucket, in full buckets, beyond which new prompts are not told to some gateways either. */
    constexpr double maxDebt = 4;

    /** @return the conditions of the endpoints in the usages. */
    std::vector<EndpointCondition> selectConditions(
        const std::vector<EndpointCondition>& conditions, const std::vector<EndpointUsage>& usages)
    {
        std::vector<EndpointCondition> selected;
        std::copy_if(conditions.begin(), conditions.end(), std::back_inserter(selected),
            [&](const EndpointCondition& condition) {
                return std::any_of(usages.begin(), usages.end(),
                    [&](const EndpointUsage& usage) { return usage.endpoint == condition.endpoint; });
            });
        return selected;
    }

}

Milliseconds fullGossipInterval(const GatewayLimits& limits, std::size_t receiverCount)
{
    return std::max(limits.minFullGossipInterval,
        limits.fullGossipIntervalPerReceiver * static_cast<Milliseconds::rep>(receiverCount));
}

Milliseconds rolloutGossipInterval(std::size_t receiverCount)
{
    return std::clamp(rolloutIntervalPerReceiver * static_cast<Milliseconds::rep>(receiverCount), minRolloutInterval,
        maxRolloutInterval);
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

void GossipComposer::spend(const GossipMessage& message, std::size_t receiverCount)
{
    std::size_t bytes = headerBytes + message.usages.size() * usageBytes
        + message.promptParts.survivals.size() * survivalBytes + message.suspects.suspects.size() * suspectBytes
        + message.refusedConnections.size() * refusalBytes + message.rateLimits.size() * rateLimitBytes
        + message.conditions.size() * conditionBytes;
    for (const auto& start : message.promptParts.brokenStarts)
        bytes += brokenStartBytes + start.parts.size() * sizeof(std::uint64_t);
    for (const RolloutReport& report : message.rollouts)
        bytes += rolloutBytes + report.counts.size() * rolloutCountBytes;
    this->availableBytes -= static_cast<double>(bytes * receiverCount);
}

bool GossipComposer::hasNewReport(const PromptPartEvidence& evidence) const
{
    return std::any_of(evidence.brokenStarts.begin(), evidence.brokenStarts.end(),
        [&](const auto& start) { return !this->lastReports.contains(start.report); });
}

bool GossipComposer::hasNewRateLimits(const std::vector<RateLimitReport>& reports, Instant now) const
{
    if (reports.empty())
        return false;
    const bool isDue = !this->sentAt || now - *this->sentAt >= demandInterval;
    return isDue || std::any_of(reports.begin(), reports.end(), [&](const RateLimitReport& report) {
        const auto last = this->lastRateLimits.find(report.endpoint);
        return last == this->lastRateLimits.end() || last->second != report.requestsPerSecond;
    });
}

bool GossipComposer::hasNewCrashes(const GossipContent& content) const
{
    const auto& suspects = content.suspects.suspects;
    const auto& refusals = content.refusedConnections;
    return std::any_of(suspects.begin(), suspects.end(), [&](const auto& suspect) {
        const auto last = this->lastSuspects.find(suspect.fingerprint);
        return last == this->lastSuspects.end() || last->second != suspect.deaths;
    }) || std::any_of(refusals.begin(), refusals.end(), [&](const RefusedConnection& refusal) {
        return !this->lastRefusals.contains(refusal.endpoint);
    });
}

bool GossipComposer::hasNewRollouts(const GossipContent& content, Instant now) const
{
    if (content.rollouts.empty())
        return false;
    if (!this->rolloutsSentAt || now - *this->rolloutsSentAt >= rolloutGossipInterval(content.receiverCount))
        return true;
    return std::any_of(content.rollouts.begin(), content.rollouts.end(), [&](const RolloutReport& report) {
        const auto last = this->lastRollouts.find(report.rollout);
        return last == this->lastRollouts.end() || last->second != std::pair(report.signal, report.isRecorded);
    });
}

std::vector<EndpointUsage> GossipComposer::changedUsages(const std::vector<EndpointUsage>& usages) const
{
    std::vector<EndpointUsage> changed;
    std::unordered_map<std::uint32_t, EndpointUsage> ended = this->lastSent;
    for (const EndpointUsage& usage : usages) {
        ended.erase(usage.endpoint);
        const auto last = this->lastSent.find(usage.endpoint);
        if (last == this->lastSent.end() || last->second != usage)
            changed.push_back(usage);
    }
    for (const auto& [endpoint, usage] : ended)
        changed.push_back({ endpoint, 0, 0, 0 });
    return changed;
}

GossipUrgency GossipComposer::urgencyOf(const std::vector<EndpointUsage>& changed) const
{
    GossipUrgency urgency = GossipUrgency::None;
    for (const EndpointUsage& usage : changed) {
        const auto found = this->lastSent.find(usage.endpoint);
        const EndpointUsage last = found == this->lastSent.end() ? EndpointUsage { usage.endpoint } : found->second;
        if (usage.promptTokens > last.promptTokens)
            return GossipUrgency::High;
        if (usage.tokens != last.tokens || usage.promptTokens != last.promptTokens)
            urgency = GossipUrgency::Normal;
    }
    return urgency;
}

bool GossipComposer::maySend(GossipUrgency urgency, std::size_t usageCount, std::size_t receiverCount) const
{
    if (urgency == GossipUrgency::High)
        return this->availableBytes > 0;
    const double capacity = this->limits.gossipBytesPerSecond * std::chrono::duration<double>(burstTime).count();
    const auto bytes = static_cast<double>((headerBytes + usageCount * (usageBytes + conditionBytes)) * receiverCount);
    return this->availableBytes >= std::min(bytes, capacity * largestReserve);
}

bool GossipComposer::isDue(const GossipContent& content, const std::vector<EndpointUsage>& changed) const
{
    if (changed.empty())
        return false;
    // Runs that end may be ones that crashed, which the others compare with what they saw.
    if (!content.suspects.suspects.empty() || !content.refusedConnections.empty()
        || content.recentEvidence != PromptPartEvidence {})
        return true;
    const GossipUrgency urgency = this->urgencyOf(changed);
    return urgency != GossipUrgency::None && this->maySend(urgency, changed.size(), content.receiverCount);
}

GossipMessage GossipComposer::makeMessage(const GossipContent& content, std::vector<EndpointUsage> usages,
    const PromptPartEvidence& evidence, bool tellsRollouts)
{
    this->lastSent.clear();
    for (const EndpointUsage& usage : content.usages)
        this->lastSent[usage.endpoint] = usage;
    this->lastReports.clear();
    for (const auto& start : evidence.brokenStarts)
        this->lastReports.insert(start.report);
    GossipMessage message { this->self, this->incarnation, ++this->sequence, content.isDraining, false,
        std::move(usages), content.suspects, evidence, content.refusedConnections, content.rateLimits };
    if (tellsRollouts) {
        message.rollouts = content.rollouts;
        this->lastRollouts.clear();
        for (const RolloutReport& report : content.rollouts)
            this->lastRollouts[report.rollout] = { report.signal, report.isRecorded };
    }
    message.conditions = selectConditions(content.conditions, message.usages);
    this->lastSuspects.clear();
    for (const auto& suspect : content.suspects.suspects)
        this->lastSuspects[suspect.fingerprint] = suspect.deaths;
    this->lastRefusals.clear();
    for (const RefusedConnection& refusal : content.refusedConnections)
        this->lastRefusals.insert(refusal.endpoint);
    this->lastRateLimits.clear();
    for (const RateLimitReport& report : content.rateLimits)
        this->lastRateLimits[report.endpoint] = report.requestsPerSecond;
    this->spend(message, content.receiverCount);
    return message;
}

std::vector<EndpointUsage> GossipComposer::newPrompts(const std::vector<EndpointUsage>& usages) const
{
    std::vector<EndpointUsage> prompts;
    std::copy_if(usages.begin(), usages.end(), std::back_inserter(prompts), [&](const EndpointUsage& usage) {
        const auto last = this->lastSent.find(usage.endpoint);
        return usage.promptTokens > (last == this->lastSent.end() ? 0 : last->second.promptTokens);
    });
    return prompts;
}

std::optional<GossipMessage> GossipComposer::composePrompts(
    const GossipContent& content, const std::vector<EndpointUsage>& prompts, Instant now)
{
    this->refill(now);
    const double capacity = this->limits.gossipBytesPerSecond * std::chrono::duration<double>(burstTime).count();
    // A message for all of many gateways takes several times what the bucket holds.
    if (prompts.empty() || !this->fullGossipSentAt || this->availableBytes < -maxDebt * capacity)
        return std::nullopt;
    GossipMessage message { GatewayId(), this->incarnation, ++this->sequence, content.isDraining, true, prompts, {} };
    message.conditions = selectConditions(content.conditions, prompts);
    for (const EndpointUsage& usage : prompts)
        this->lastSent[usage.endpoint] = usage;
    this->spend(message, content.receiverCount);
    return message;
}

std::optional<GossipMessage> GossipComposer::compose(const GossipContent& content, Instant now)
{
    this->refill(now);
    const bool tellsRollouts = this->hasNewRollouts(content, now);
    if (tellsRollouts)
        this->rolloutsSentAt = now;
    if (!this->fullGossipSentAt
        || now - *this->fullGossipSentAt >= fullGossipInterval(this->limits, content.receiverCount)) {
        this->fullGossipSentAt = now;
        this->sentAt = now;
        return this->makeMessage(content, content.usages, content.allEvidence, tellsRollouts);
    }
    // A bad version must get no more requests at once, whatever else was told a moment ago.
    if (this->availableBytes <= 0 && !tellsRollouts)
        return std::nullopt;
    auto changed = this->changedUsages(content.usages);
    const bool hasNewFindings = tellsRollouts || this->hasNewReport(content.recentEvidence)
        || this->hasNewRateLimits(content.rateLimits, now) || this->hasNewCrashes(content);
    if (!hasNewFindings && !this->isDue(content, changed))
        return std::nullopt;
    GossipMessage partial = this->makeMessage(content, std::move(changed), content.recentEvidence, tellsRollouts);
    this->sentAt = now;
    partial.isPartial = true;
    partial.instance = GatewayId();
    return partial;
}

}
