#include "core/gateway/LoadSpread.h"

#include <algorithm>
#include <cmath>

namespace teaselfold {

namespace {

    constexpr Milliseconds reportInterval(10000);
    /** Slowdown from which on an instance counts as busy with other work. */
    constexpr double busySlowdown = 1.5;
    constexpr double percent = 100;

    struct Spread {
        double sum { 0 };
        double largest { 0 };
        EndpointId busiest;
        std::size_t endpoints { 0 };
        std::size_t idle { 0 };
        std::size_t busyInstances { 0 };

        void add(const GatewayEndpoint& endpoint, double requests, Instant now)
        {
            const double work = requests * endpoint.pace.slowdown(now);
            this->sum += work;
            ++this->endpoints;
            this->idle += requests < 1 ? 1 : 0;
            this->busyInstances += endpoint.pace.slowdown(now) >= busySlowdown ? 1 : 0;
            if (work <= this->largest)
                return;
            this->largest = work;
            this->busiest = endpoint.record.id;
        }
    };

    LogEvent lineOf(const ServiceId& service, const Spread& spread)
    {
        const double mean = spread.sum / static_cast<double>(spread.endpoints);
        return { "load_spread",
            { { "service", service.get() }, { "endpoints", std::to_string(spread.endpoints) },
                { "idle", std::to_string(spread.idle) }, { "busiest", spread.busiest.get() },
                { "busiest_to_mean_percent", std::to_string(std::llround(spread.largest / mean * percent)) },
                { "busy_instances", std::to_string(spread.busyInstances) } } };
    }

}

void LoadSpread::tick(Instant now, GatewayActions& actions)
{
    if (this->reportedAt && now - *this->reportedAt < reportInterval)
        return;
    this->reportedAt = now;
    std::map<ServiceId, Spread> spreads;
    this->state.endpoints.forEach([&](const GatewayEndpoint& endpoint) {
        const double others = std::max<double>(this->state.peers.peerLoad(endpoint.idHash).runs,
            endpoint.externalLoad.requests(this->state.limits.maxLoadReportAge, now));
        spreads[endpoint.record.service].add(endpoint, endpoint.inFlight + others, now);
    });
    for (const auto& [service, spread] : spreads) {
        if (spread.sum > 0)
            actions.emplace_back(lineOf(service, spread));
    }
}

}
