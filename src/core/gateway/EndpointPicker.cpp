#include "core/gateway/EndpointPicker.h"

#include <algorithm>
#include <limits>

namespace teaselfold {

namespace {

    /** Load that an endpoint of another zone must be less by, as a share of its capacity. */
    constexpr double otherZonePenalty = 0.08;
    /** Random part of a score, so that instances with the same view do not all choose the same endpoint. */
    constexpr double scoreJitter = 0.02;

    /**
     * Expected tokens, as a share of an engine's memory, beyond which requests may be preempted. More than one: what
     * requests are expected to hold at their ends is never held by all at once.
     */
    constexpr double crowdedShare = 1.1;
    /** Seconds by which a request is set back at an engine whose memory is overbooked once. */
    constexpr double crowdedSeconds = 60;
    /** Seconds by which a full engine slows a request down, since its steps take longer. */
    constexpr double usedSeconds = 1;
    /** Time in which a usual engine reads one token of a prompt; 14 in a millisecond. */
    constexpr double secondsPerPromptToken = 1.0 / 14000;
    /** Part of a prompt's reading time by which each running stream is delayed. */
    constexpr double delayShare = 0.5;
    /** Times as long that reading takes between the steps of running streams. */
    constexpr double busyReading = 2;
    /** Weight of a second before the first event against one of a stream's run. */
    constexpr double waitWeight = 2;
    /** Other instances keep copies of their runs as well. */
    constexpr double foreignCopies = 1.7;

    double jitter(Randomness& randomness)
    {
        constexpr double range = 18446744073709551616.0;
        return static_cast<double>(randomness.next()) / range * scoreJitter;
    }

    double foreignWork(const GatewayEndpoint& endpoint, const PickContext& context)
    {
        const bool recent = endpoint.reportedAt + context.limits.maxLoadReportAge > context.now;
        return recent ? static_cast<double>(endpoint.foreignWork) : 0;
    }

    double zonePenalty(const GatewayEndpoint& endpoint, const PickContext& context)
    {
        return endpoint.record.zone == context.zone ? 0 : otherZonePenalty;
    }

    double secondsOf(Duration time) { return std::chrono::duration<double>(time).count(); }

    /** @return the time between events that is expected of an engine that has not been seen at work, in seconds. */
    double usualTime(const std::vector<GatewayEndpoint*>& candidates)
    {
        constexpr double assumed = 0.035;
        double sum = assumed;
        double count = 1;
        for (const GatewayEndpoint* candidate : candidates) {
            if (!candidate->eventTime)
                continue;
            sum += secondsOf(*candidate->eventTime);
            count += 1;
        }
        return sum / count;
    }

    /** @return runs of other instances at an engine: what they say, or what the engine reports if that is more. */
    double runsElsewhere(const GatewayEndpoint& endpoint, const PickContext& context)
    {
        const auto told = static_cast<double>(context.peers.workElsewhere(endpoint.idHash).runs);
        return context.hearsAll ? told : std::max(told, foreignWork(endpoint, context));
    }

    /** @return the tokens that the engine is expected to hold with one more request. */
    double tokensHeld(const GatewayEndpoint& endpoint, const PickContext& context)
    {
        const auto request = static_cast<double>(context.tokens);
        const auto own = static_cast<double>(endpoint.tokensInFlight + endpoint.copyTokens);
        const auto told = static_cast<double>(context.peers.workElsewhere(endpoint.idHash).tokens);
        if (context.hearsAll)
            return own + told + request;
        const double each
            = endpoint.inFlight == 0 ? request : static_cast<double>(endpoint.tokensInFlight) / endpoint.inFlight;
        return own + std::max(told, foreignWork(endpoint, context) * each * foreignCopies) + request;
    }

    /** @return the tokens of prompts that the engine reads before the request's own. */
    double promptsBefore(const GatewayEndpoint& endpoint, const PickContext& context)
    {
        const auto elsewhere = context.peers.workElsewhere(endpoint.idHash).promptTokens;
        return static_cast<double>(endpoint.promptTokens + elsewhere);
    }

    /** @return some of the candidates, at random. Instances that know the same so seldom choose the same endpoint. */
    std::vector<GatewayEndpoint*> drawSome(std::vector<GatewayEndpoint*> candidates, Randomness& randomness)
    {
        constexpr std::size_t drawn = 10;
        for (std::size_t index = 0; index < drawn && candidates.size() > drawn; ++index) {
            const std::size_t other = index + randomness.next() % (candidates.size() - index);
            std::swap(candidates[index], candidates[other]);
        }
        candidates.resize(std::min(candidates.size(), drawn));
        return candidates;
    }

    template <typename Score>
    GatewayEndpoint* lowest(const std::vector<GatewayEndpoint*>& candidates, const Score& scoreOf)
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

GatewayEndpoint* LeastBusyPicker::pick(
    const std::vector<GatewayEndpoint*>& candidates, const GatewayService&, const PickContext& context) const
{
    return lowest(candidates, [&](const GatewayEndpoint& endpoint) {
        const double slots = std::max<std::uint32_t>(endpoint.record.slots, 1);
        const double busy = (endpoint.inFlight + foreignWork(endpoint, context)) / slots;
        return busy + zonePenalty(endpoint, context) + jitter(context.randomness);
    });
}

double usedWith(const GatewayEndpoint& endpoint, const GatewayService& service, const PickContext& context)
{
    const auto memory = std::max<std::uint64_t>(service.engine ? service.engine->kvCacheTokens : 0, 1);
    return tokensHeld(endpoint, context) / static_cast<double>(memory);
}

GatewayEndpoint* SoonestDonePicker::pick(
    const std::vector<GatewayEndpoint*>& candidates, const GatewayService& service, const PickContext& context) const
{
    const double usualEventTime = usualTime(candidates);
    const auto events = static_cast<double>(context.events);
    const double usualReading = static_cast<double>(context.promptTokens) * secondsPerPromptToken;
    return lowest(drawSome(candidates, context.randomness), [&](const GatewayEndpoint& endpoint) {
        const double used = usedWith(endpoint, service, context);
        const double eventTime = endpoint.eventTime ? secondsOf(*endpoint.eventTime) : usualEventTime;
        const double reading = usualReading * eventTime / usualEventTime;
        const double waiting = promptsBefore(endpoint, context) * secondsPerPromptToken * busyReading * eventTime
            / usualEventTime * waitWeight;
        const double delayed = (endpoint.inFlight + runsElsewhere(endpoint, context)) * reading * delayShare;
        const double crowded = std::max(0.0, used - crowdedShare) * crowdedSeconds;
        return reading + waiting + events * eventTime + delayed + used * usedSeconds + crowded
            + zonePenalty(endpoint, context) + jitter(context.randomness);
    });
}

const EndpointPicker& pickerFor(const GatewayService& service)
{
    static const LeastBusyPicker leastBusy;
    static const SoonestDonePicker soonestDone;
    if (service.engine)
        return soonestDone;
    return leastBusy;
}

}
