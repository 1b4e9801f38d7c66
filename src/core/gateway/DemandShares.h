#pragma once

#include "ports/GatewayLimits.h"
#include "ports/PeerMessages.h"

#include <map>
#include <vector>

namespace teaselfold {

/** A request rate, above zero, and the number of gateways, including this one, that share it. */
struct Divided {
    double requestsPerSecond { 1 };
    std::size_t gatewayCount { 1 };
};

/**
 * Divides the request rate of an endpoint among the gateways in proportion to their demand; what exceeds all demand is
 * divided equally. Each gateway measures its
 * own demand and learns that of the others from gossip; one whose demand is unknown counts as an average one.
 */
class DemandShares {
public:
    explicit DemandShares(const GatewayLimits& limits)
        : limits(limits)
    {
    }

    /** Counts a request for a service. */
    void recordRequest(const ServiceId& service, Instant now);
    /** @return this gateway's recent requests per second for the service. */
    double ownDemand(const ServiceId& service, Instant now) const;
    /** Records what this gateway reported of its demand to the others. */
    void recordReported(const std::vector<RateLimitReport>& reports, Instant now);
    /** Records what another gateway reported of its demand. */
    void merge(const GatewayId& sender, const std::vector<RateLimitReport>& reports, Instant now);
    /** Forgets reports that are too old. */
    void expire(Instant now);
    /**
     * @param endpoint hash of the endpoint's id.
     * @return this gateway's share of what the endpoint takes, from 0 to 1. It follows the demand that the others know
     * of, so that the shares of all gateways add up.
     */
    double shareOf(std::uint32_t endpoint, const Divided& divided, Instant now) const;
    /** @return the share that this gateway has once the others know its present demand. */
    double expectedShareOf(std::uint32_t endpoint, const ServiceId& service, const Divided& divided, Instant now) const;

private:
    /** Exponentially decaying count of requests. */
    struct Count {
        double requests { 0 };
        Instant at;
    };
    struct Report {
        double requestsPerSecond { 0 };
        Instant at;
    };

    /** What the other gateways reported of an endpoint. */
    struct Known {
        double requestsPerSecond { 0 };
        std::size_t count { 0 };
    };

    static double decayed(const Count& count, Instant now);
    Known othersOf(std::uint32_t endpoint) const;
    /** @return the share of a gateway with the given demand. */
    double shareFor(double ownRate, const Known& others, const Divided& divided) const;

    const GatewayLimits& limits;
    std::map<ServiceId, Count> own;
    /** This gateway's last reports, by endpoint hash. */
    std::map<std::uint32_t, Report> reported;
    /** The other gateways' last reports, by endpoint hash. */
    std::map<std::uint32_t, std::map<GatewayId, Report>> reports;
};

}
