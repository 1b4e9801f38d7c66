#include "core/gateway/EndpointPicker.h"

#include <algorithm>
#include <limits>

namespace teaselfold {

namespace {

    /** Load that an endpoint of another zone must be less by, as a share of its capacity. */
    constexpr double otherZonePenalty = 0.08;
    /** Random part of a score, so that instances with the same view do not all choose the same endpoint. */
    constexpr double scoreJitter = 0.02;

    double jitter(Randomness& randomness)
    {
        constexpr double range = 18446744073709551616.0;
        return static_cast<double>(randomness.next()) / range * scoreJitter;
    }

    double foreignWork(const GatewayEndpoint& endpoint, const PickContext& context)
    {
        const bool recent = endpoint.reportedAt + context.limits.loadReportAge > context.now;
        return recent ? static_cast<double>(endpoint.foreignWork) : 0;
    }

    double zonePenalty(const GatewayEndpoint& endpoint, const PickContext& context)
    {
        return endpoint.record.zone == context.zone ? 0 : otherZonePenalty;
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

GatewayEndpoint* MostMemoryPicker::pick(
    const std::vector<GatewayEndpoint*>& candidates, const GatewayService& service, const PickContext& context) const
{
    const double memory = std::max<std::uint64_t>(service.engine ? service.engine->memoryTokens : 0, 1);
    return lowest(candidates, [&](const GatewayEndpoint& endpoint) {
        const double own = endpoint.inFlight == 0 ? static_cast<double>(context.tokens)
                                                  : static_cast<double>(endpoint.tokensInFlight) / endpoint.inFlight;
        const double foreign = foreignWork(endpoint, context) * own;
        const double used = (static_cast<double>(endpoint.tokensInFlight) + foreign) / memory;
        return used + zonePenalty(endpoint, context) + jitter(context.randomness);
    });
}

const EndpointPicker& pickerFor(const GatewayService& service)
{
    static const LeastBusyPicker leastBusy;
    static const MostMemoryPicker mostMemory;
    if (service.engine)
        return mostMemory;
    return leastBusy;
}

}
