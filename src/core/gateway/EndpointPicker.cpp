#include "core/gateway/EndpointPicker.h"

#include "core/gateway/PauseForecast.h"
#include "core/gateway/PromptReading.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace teaselfold {

namespace {

    /** Added to the score of an endpoint in another zone. Scores are fractions of the slots or, for engines, seconds.
     */
    constexpr double otherZonePenalty = 0.08;
    /** Maximum random addition to a score, so that gateways with equal data do not all choose the same endpoint. */
    constexpr double scoreJitter = 0.02;

    /**
     * Expected tokens, as a fraction of an engine's KV cache, beyond which requests may be preempted. Larger than one,
     * because requests do not all reach their final number of tokens at the same time.
     */
    constexpr double overcommitThreshold = 1.1;
    /** Expected delay of a request, in seconds, for each full KV cache capacity beyond the threshold. */
    constexpr double overcommitDelaySeconds = 60;
    /** Expected delay of a request at a full engine, in seconds, since its steps take longer. */
    constexpr double fullEngineDelaySeconds = 1;
    /** Fraction of a prompt's prefill time by which each running stream is delayed. */
    constexpr double prefillDelayShare = 0.5;
    /** Weight of a second before the first event relative to a second between events. */
    constexpr double firstEventWeight = 2;
    /** Weight of a stream that is late by a pause, in seconds of delay. */
    constexpr double lateStreamSeconds = 3;
    /** Factor on the tokens of other gateways' runs that accounts for the replicas of those runs. */
    constexpr double externalReplicaFactor = 1.7;

    double jitter(Randomness& randomness)
    {
        constexpr double randomRange = 18446744073709551616.0;
        return static_cast<double>(randomness.next()) / randomRange * scoreJitter;
    }

    /** @return the requests of other gateways that the endpoint is expected to have according to its reports. */
    double reportedRequests(const GatewayEndpoint& endpoint, const PickContext& context)
    {
        return endpoint.externalLoad.requests(context.limits.maxLoadReportAge, context.now);
    }

    double zonePenalty(const GatewayEndpoint& endpoint, const PickContext& context)
    {
        return endpoint.record.zone == context.zone ? 0 : otherZonePenalty;
    }

    double secondsOf(Duration time) { return std::chrono::duration<double>(time).count(); }

    /** @return the time between two events at an engine beside no prompt; unset if nothing is known of it. */
    std::optional<Duration> intervalOf(const GatewayEndpoint& endpoint)
    {
        const auto usual = endpoint.pace.usualInterval();
        return usual ? usual : endpoint.eventInterval;
    }

    /** @return the event interval assumed for an engine of which none is known. */
    Duration averageEventInterval(const std::vector<GatewayEndpoint*>& candidates)
    {
        Duration sum = assumedEventInterval;
        Duration::rep count = 1;
        for (const GatewayEndpoint* candidate : candidates) {
            const auto interval = intervalOf(*candidate);
            sum += interval.value_or(Duration(0));
            count += interval ? 1 : 0;
        }
        return sum / count;
    }

    /**
     * @return the number of other gateways' runs at an engine, according to their messages. If the messages of some
     * gateways are missing, the engine's load report is used when it is higher.
     */
    double externalRuns(const GatewayEndpoint& endpoint, const PickContext& context)
    {
        const auto reported = static_cast<double>(context.peers.peerLoad(endpoint.idHash).runs);
        return context.isPeerLoadComplete ? reported : std::max(reported, reportedRequests(endpoint, context));
    }

    /** @return the tokens that the engine is expected to hold including the new request. */
    double expectedTokens(const GatewayEndpoint& endpoint, const PickContext& context)
    {
        const auto request = static_cast<double>(context.tokens);
        const auto own = static_cast<double>(endpoint.tokensInFlight + endpoint.copyTokens);
        const auto reported = static_cast<double>(context.peers.peerLoad(endpoint.idHash).tokens);
        if (context.isPeerLoadComplete)
            return own + reported + request;
        const double tokensPerRequest
            = endpoint.inFlight == 0 ? request : static_cast<double>(endpoint.tokensInFlight) / endpoint.inFlight;
        return own + std::max(reported, reportedRequests(endpoint, context) * tokensPerRequest * externalReplicaFactor)
            + request;
    }

    /** @return the prompt tokens queued at the engine before the request's own. */
    double queuedPromptTokens(const GatewayEndpoint& endpoint, const PickContext& context)
    {
        return static_cast<double>(endpoint.promptTokens)
            + context.peers.unreadPromptTokens(endpoint.idHash, context.now);
    }

    /** @return the candidates that the gateway prefers if the gateways divide the engines; all if those are too few. */
    std::vector<GatewayEndpoint*> preferredCandidates(
        const std::vector<GatewayEndpoint*>& candidates, const PickContext& context)
    {
        constexpr std::size_t fewest = 3;
        std::vector<GatewayEndpoint*> preferred;
        if (context.peers.dividesEngines())
            std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(preferred),
                [&](const GatewayEndpoint* each) { return context.peers.prefers(each->idHash, candidates.size()); });
        return preferred.size() < fewest ? candidates : preferred;
    }

    /** @return a random sample of the candidates, so that gateways with equal data rarely choose the same endpoint. */
    std::vector<GatewayEndpoint*> sampleCandidates(std::vector<GatewayEndpoint*> candidates, Randomness& randomness)
    {
        constexpr std::size_t sampleSize = 10;
        for (std::size_t index = 0; index < sampleSize && candidates.size() > sampleSize; ++index) {
            const std::size_t other = index + randomness.next() % (candidates.size() - index);
            std::swap(candidates[index], candidates[other]);
        }
        candidates.resize(std::min(candidates.size(), sampleSize));
        return candidates;
    }

    template <typename Score>
    GatewayEndpoint* findLowest(const std::vector<GatewayEndpoint*>& candidates, const Score& scoreOf)
    {
        GatewayEndpoint* best = nullptr;
        double bestScore = std::numeric_limits<double>::max();
        for (GatewayEndpoint* candidate : candidates) {
            const double score = scoreOf(*candidate);
            if (score >= bestScore)
                continue;
            best = candidate;
            bestScore = score;
        }
        return best;
    }

}

GatewayEndpoint* LeastLoadedPicker::pick(
    const std::vector<GatewayEndpoint*>& candidates, const GatewayService&, const PickContext& context) const
{
    return findLowest(candidates, [&](const GatewayEndpoint& endpoint) {
        const double slots = std::max<std::uint32_t>(endpoint.record.slots, 1);
        const double load = (endpoint.inFlight + reportedRequests(endpoint, context)) / slots;
        return load * endpoint.pace.slowdown(context.now) + zonePenalty(endpoint, context) + jitter(context.randomness);
    });
}

double expectedUtilization(const GatewayEndpoint& endpoint, const GatewayService& service, const PickContext& context)
{
    const auto capacity = std::max<std::uint64_t>(service.engine ? service.engine->kvCacheTokens : 0, 1);
    return expectedTokens(endpoint, context) / static_cast<double>(capacity);
}

GatewayEndpoint* LowestCostPicker::pick(
    const std::vector<GatewayEndpoint*>& candidates, const GatewayService& service, const PickContext& context) const
{
    const Duration averageInterval = averageEventInterval(candidates);
    const PauseForecast pauses(context.slowdowns, context.objectives.eventInterval, averageInterval);
    return findLowest(sampleCandidates(preferredCandidates(candidates, context), context.randomness),
        [&](const GatewayEndpoint& endpoint) {
            const double utilization = expectedUtilization(endpoint, service, context);
            const Duration interval = intervalOf(endpoint).value_or(averageInterval);
            const double secondsPerToken = secondsPerPromptToken * secondsOf(interval) / secondsOf(averageInterval)
                * endpoint.pace.slowdown(context.now);
            const double prefill = static_cast<double>(context.promptTokens) * secondsPerToken;
            const double queueing
                = queuedPromptTokens(endpoint, context) * secondsPerToken * interleavedPrefillFactor * firstEventWeight;
            const Duration duration = interval * static_cast<Duration::rep>(context.events);
            const double runs = endpoint.inFlight + externalRuns(endpoint, context);
            const double streamDelay = runs * prefill * prefillDelayShare;
            const double lateStreams = context.promptTokens == 0
                ? 0
                : runs * pauses.riskOfPrompt(endpoint.pace, context.now) + pauses.riskOfStream(endpoint.pace, duration);
            const double overcommit = std::max(0.0, utilization - overcommitThreshold) * overcommitDelaySeconds;
            return prefill + queueing + secondsOf(duration) + streamDelay + lateStreams * lateStreamSeconds
                + utilization * fullEngineDelaySeconds + overcommit + zonePenalty(endpoint, context)
                + jitter(context.randomness);
        });
}

const EndpointPicker& pickerFor(const GatewayService& service)
{
    static const LeastLoadedPicker leastLoaded;
    static const LowestCostPicker lowestCost;
    if (service.engine)
        return lowestCost;
    return leastLoaded;
}

}
