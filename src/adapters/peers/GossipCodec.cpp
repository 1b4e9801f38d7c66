#include "adapters/peers/GossipCodec.h"

#include "adapters/peers/PeerWire.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace teaselfold {

namespace {

    /** With `maxSuspects`, keeps the datagram, including its IP and UDP headers, within one Ethernet frame. */
    constexpr std::size_t maxUsages = 48;
    constexpr std::size_t maxSuspects = 16;
    /** Received lists are read up to this length; no gateway sends longer ones. */
    constexpr flatbuffers::uoffset_t maxReceivedEntries = 64;

    /** @return the number of usages that take as many bytes as the evidence, the rate limits and the roll-outs. */
    std::size_t displacedUsages(const GossipMessage& gossip)
    {
        constexpr std::size_t usagesPerStart = 3;
        constexpr std::size_t partsPerUsage = 2;
        constexpr std::size_t usagesPerRateLimit = 2;
        constexpr std::size_t conditionsPerUsage = 2;
        std::size_t usages = gossip.promptParts.survivals.size() + gossip.rateLimits.size() * usagesPerRateLimit
            + gossip.conditions.size() / conditionsPerUsage;
        for (const auto& start : gossip.promptParts.brokenStarts)
            usages += usagesPerStart + start.parts.size() / partsPerUsage;
        constexpr std::size_t usagesPerRollout = 4;
        for (const RolloutReport& report : gossip.rollouts)
            usages += usagesPerRollout + report.counts.size() * sizeof(peerwire::RolloutCount) / sizeof(peerwire::Load);
        return std::min(usages, maxUsages);
    }

    /** Rates are sent in thousandths of a request per second. */
    constexpr double rateUnitsPerRequest = 1000;

    std::uint32_t encodeRate(double requestsPerSecond)
    {
        constexpr double largest = 4e9;
        return static_cast<std::uint32_t>(std::clamp(requestsPerSecond * rateUnitsPerRequest, 0.0, largest));
    }

    std::vector<peerwire::RateLimit> encodeRateLimits(const std::vector<RateLimitReport>& reports)
    {
        std::vector<peerwire::RateLimit> encoded;
        for (const RateLimitReport& report : reports)
            encoded.emplace_back(report.endpoint, static_cast<std::uint32_t>(report.age.count()),
                encodeRate(report.requestsPerSecond.value_or(0)), encodeRate(report.demand),
                !report.requestsPerSecond.has_value());
        return encoded;
    }

    std::vector<flatbuffers::Offset<peerwire::Rollout>> encodeRollouts(
        flatbuffers::FlatBufferBuilder& builder, const std::vector<RolloutReport>& reports)
    {
        std::vector<flatbuffers::Offset<peerwire::Rollout>> encoded;
        for (const RolloutReport& report : reports) {
            std::vector<peerwire::RolloutCount> counts;
            for (const RolloutCounts& count : report.counts)
                counts.emplace_back(count.endpoint, count.route, count.answered, count.failed, count.slow,
                    static_cast<std::uint32_t>(count.totalTime.count()));
            encoded.push_back(peerwire::CreateRollout(builder, report.rollout, static_cast<std::uint8_t>(report.signal),
                report.isRecorded, static_cast<std::uint32_t>(report.elapsed.count()), report.requests,
                report.requestsToTarget, report.runsAtPrevious, builder.CreateVectorOfStructs(counts)));
        }
        return encoded;
    }

    constexpr Microseconds intervalUnit(20);
    constexpr Milliseconds ageUnit(10);
    constexpr double slowdownUnitsPerFactor = 20;

    template <typename Field> Field encodeBounded(double units)
    {
        return static_cast<Field>(std::clamp(units, 0.0, static_cast<double>(std::numeric_limits<Field>::max())));
    }

    std::vector<peerwire::Condition> encodeConditions(const std::vector<EndpointCondition>& conditions)
    {
        std::vector<peerwire::Condition> encoded;
        for (const EndpointCondition& condition : conditions)
            encoded.emplace_back(condition.endpoint,
                encodeBounded<std::uint16_t>(static_cast<double>(condition.eventInterval / intervalUnit)),
                encodeBounded<std::uint8_t>(std::round(condition.slowdown * slowdownUnitsPerFactor)),
                encodeBounded<std::uint8_t>(static_cast<double>(condition.age / ageUnit)));
        return encoded;
    }

    std::vector<EndpointUsage> selectLargestUsages(std::vector<EndpointUsage> usages, std::size_t limit)
    {
        std::sort(usages.begin(), usages.end(),
            [](const EndpointUsage& left, const EndpointUsage& right) { return left.tokens > right.tokens; });
        if (usages.size() > limit)
            usages.resize(limit);
        return usages;
    }

    std::vector<flatbuffers::Offset<peerwire::BrokenStart>> encodeBrokenStarts(
        flatbuffers::FlatBufferBuilder& builder, const PromptPartEvidence& evidence)
    {
        std::vector<flatbuffers::Offset<peerwire::BrokenStart>> starts;
        for (const auto& start : evidence.brokenStarts) {
            std::vector<std::uint64_t> parts;
            for (const PromptPartId part : start.parts)
                parts.push_back(part.get());
            starts.push_back(peerwire::CreateBrokenStart(builder, start.report, start.endpoint,
                static_cast<std::uint32_t>(start.age.count()), builder.CreateVector(parts)));
        }
        return starts;
    }

    std::vector<peerwire::Survival> encodeSurvivals(const PromptPartEvidence& evidence)
    {
        std::vector<peerwire::Survival> survivals;
        for (const auto& survival : evidence.survivals)
            survivals.emplace_back(survival.part.get(), static_cast<std::uint32_t>(survival.age.count()));
        return survivals;
    }

    /** @return the number of a vector's entries to read; zero if it is absent. */
    template <typename Vector> flatbuffers::uoffset_t entriesOf(const Vector* vector)
    {
        return vector ? std::min(vector->size(), maxReceivedEntries) : 0;
    }

    std::vector<RateLimitReport> decodeRateLimits(const peerwire::News& news)
    {
        std::vector<RateLimitReport> reports;
        for (flatbuffers::uoffset_t index = 0; index < entriesOf(news.rate_limits()); ++index) {
            const auto* limit = news.rate_limits()->Get(index);
            RateLimitReport report { limit->endpoint(), {}, Milliseconds(limit->age_ms()),
                limit->demand() / rateUnitsPerRequest };
            if (!limit->not_limited())
                report.requestsPerSecond = limit->rate() / rateUnitsPerRequest;
            reports.push_back(report);
        }
        return reports;
    }

    std::vector<RolloutReport> decodeRollouts(const peerwire::News& news)
    {
        std::vector<RolloutReport> reports;
        for (flatbuffers::uoffset_t index = 0; index < entriesOf(news.rollouts()); ++index) {
            const auto* encoded = news.rollouts()->Get(index);
            if (encoded->signal() >= rolloutSignalCount)
                continue;
            RolloutReport report { encoded->rollout(), static_cast<RolloutSignal>(encoded->signal()),
                encoded->recorded(), Milliseconds(encoded->elapsed_ms()), encoded->requests(), encoded->to_target(),
                encoded->at_previous(), {} };
            for (flatbuffers::uoffset_t entry = 0; entry < entriesOf(encoded->counts()); ++entry) {
                const auto* count = encoded->counts()->Get(entry);
                report.counts.push_back({ count->endpoint(), count->route(), count->answered(), count->failed(),
                    count->slow(), Milliseconds(count->total_ms()) });
            }
            reports.push_back(std::move(report));
        }
        return reports;
    }

    std::vector<EndpointCondition> decodeConditions(const peerwire::News& news)
    {
        std::vector<EndpointCondition> conditions;
        for (flatbuffers::uoffset_t index = 0; index < entriesOf(news.conditions()); ++index) {
            const auto* condition = news.conditions()->Get(index);
            conditions.push_back({ condition->endpoint(), intervalUnit * condition->event_interval(),
                condition->slowdown() / slowdownUnitsPerFactor, ageUnit * condition->age() });
        }
        return conditions;
    }

    PromptPartEvidence decodeEvidence(const peerwire::News& news)
    {
        PromptPartEvidence evidence;
        for (flatbuffers::uoffset_t index = 0; index < entriesOf(news.broken_starts()); ++index) {
            const auto* start = news.broken_starts()->Get(index);
            std::vector<PromptPartId> parts;
            for (flatbuffers::uoffset_t part = 0; part < entriesOf(start->parts()); ++part)
                parts.emplace_back(start->parts()->Get(part));
            evidence.brokenStarts.push_back(
                { start->report(), start->endpoint(), Milliseconds(start->age_ms()), std::move(parts) });
        }
        for (flatbuffers::uoffset_t index = 0; index < entriesOf(news.survivals()); ++index) {
            const auto* survival = news.survivals()->Get(index);
            evidence.survivals.push_back({ PromptPartId(survival->part()), Milliseconds(survival->age_ms()) });
        }
        return evidence;
    }

}

std::string encodeGossip(const GossipMessage& gossip)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<peerwire::Load> loads;
    for (const EndpointUsage& usage : selectLargestUsages(gossip.usages, maxUsages - displacedUsages(gossip)))
        loads.emplace_back(usage.endpoint, usage.tokens, usage.runs, usage.promptTokens);
    std::vector<peerwire::Suspect> suspects;
    for (const auto& suspect : gossip.suspects.suspects) {
        if (suspects.size() == maxSuspects)
            break;
        suspects.emplace_back(
            suspect.fingerprint.get(), static_cast<std::uint32_t>(suspect.remaining.count()), suspect.deaths);
    }
    // Empty fields are omitted to save bytes: each gateway sends a datagram to every other several times a second.
    const auto instance = gossip.isPartial ? 0 : builder.CreateString(gossip.instance.get());
    const auto loadVector = builder.CreateVectorOfStructs(loads);
    const auto suspectVector = suspects.empty() ? 0 : builder.CreateVectorOfStructs(suspects);
    const auto starts = encodeBrokenStarts(builder, gossip.promptParts);
    const auto startVector = starts.empty() ? 0 : builder.CreateVector(starts);
    const auto survivals = encodeSurvivals(gossip.promptParts);
    const auto survivalVector = survivals.empty() ? 0 : builder.CreateVectorOfStructs(survivals);
    std::vector<peerwire::Refusal> refusals;
    for (const RefusedConnection& refused : gossip.refusedConnections)
        refusals.emplace_back(refused.endpoint, static_cast<std::uint32_t>(refused.age.count()));
    const auto refusalVector = refusals.empty() ? 0 : builder.CreateVectorOfStructs(refusals);
    const auto rateLimits = encodeRateLimits(gossip.rateLimits);
    const auto rateLimitVector = rateLimits.empty() ? 0 : builder.CreateVectorOfStructs(rateLimits);
    const auto rollouts = encodeRollouts(builder, gossip.rollouts);
    const auto rolloutVector = rollouts.empty() ? 0 : builder.CreateVector(rollouts);
    const auto conditions = encodeConditions(gossip.conditions);
    const auto conditionVector = conditions.empty() ? 0 : builder.CreateVectorOfStructs(conditions);
    const auto root = peerwire::CreateNews(builder, instance, gossip.incarnation.get(), gossip.sequence,
        gossip.isDraining, loadVector, suspectVector, gossip.isPartial, startVector, survivalVector, refusalVector,
        rateLimitVector, rolloutVector, conditionVector);
    builder.Finish(root, peerwire::NewsIdentifier());
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

std::optional<GossipMessage> decodeGossip(std::string_view datagram)
{
    const auto* bytes = reinterpret_cast<const std::uint8_t*>(datagram.data());
    flatbuffers::Verifier verifier(bytes, datagram.size());
    constexpr std::size_t minDatagramBytes = 16;
    if (datagram.size() < minDatagramBytes || !peerwire::VerifyNewsBuffer(verifier))
        return std::nullopt;
    const auto* root = peerwire::GetNews(bytes);
    const bool hasInstance = root->instance() && root->instance()->size() > 0;
    if (hasInstance == root->partial())
        return std::nullopt;
    GossipMessage gossip;
    if (hasInstance)
        gossip.instance = GatewayId(root->instance()->str());
    gossip.incarnation = Incarnation(root->incarnation());
    gossip.sequence = root->sequence();
    gossip.isDraining = root->leaving();
    gossip.isPartial = root->partial();
    for (std::size_t index = 0; root->loads() && index < root->loads()->size(); ++index) {
        const auto* load = root->loads()->Get(static_cast<flatbuffers::uoffset_t>(index));
        gossip.usages.push_back({ load->endpoint(), load->runs(), load->tokens(), load->prompt_tokens() });
    }
    for (flatbuffers::uoffset_t index = 0; index < entriesOf(root->suspects()); ++index) {
        const auto* suspect = root->suspects()->Get(index);
        gossip.suspects.suspects.push_back(
            { Fingerprint(suspect->fingerprint()), suspect->deaths(), Milliseconds(suspect->remaining_ms()) });
    }
    gossip.promptParts = decodeEvidence(*root);
    for (flatbuffers::uoffset_t index = 0; index < entriesOf(root->refusals()); ++index) {
        const auto* refusal = root->refusals()->Get(index);
        gossip.refusedConnections.push_back({ refusal->endpoint(), Milliseconds(refusal->age_ms()) });
    }
    gossip.rateLimits = decodeRateLimits(*root);
    gossip.rollouts = decodeRollouts(*root);
    gossip.conditions = decodeConditions(*root);
    return gossip;
}

}
