#pragma once

#include "core/gateway/DemandShares.h"
#include "core/gateway/RateLimit.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace teaselfold {

/**
 * The request rates that endpoints take from all gateways together, as stated in their answers to this gateway or to
 * another one, and this gateway's share of them.
 */
class EndpointRateLimits {
public:
    /** @param self this gateway. */
    EndpointRateLimits(const GatewayLimits& limits, GatewayId self)
        : self(std::move(self))
        , demand(limits)
    {
    }

    /** Adds an endpoint without a limit; one that restarted has none either. */
    void add(const EndpointId& endpoint, const ServiceId& service);
    void remove(const EndpointId& endpoint);
    /** Sets the number of gateways, including this one, among which the rates are divided. */
    void setGatewayCount(std::size_t count) { this->gatewayCount = count; }
    /** Counts a caller's request for a service, whether or not it is sent. */
    void recordDemand(const ServiceId& service, Instant now) { this->demand.recordRequest(service, now); }

    /**
     * Records what an endpoint stated in an answer to this gateway.
     * @param requestsPerSecond unset if the answer named no limit.
     * @return true if the limit changed.
     */
    bool recordAnswer(const EndpointId& endpoint, std::optional<double> requestsPerSecond, Instant now);
    /**
     * Notes that the process was suspended. What it reads at first was sent before, so for a short time only statements
     * that lower a limit hold.
     */
    void recordSuspension(Instant now);
    /** Records what another gateway knows. @return the endpoints whose limit changed. */
    std::vector<EndpointId> merge(const GatewayId& sender, const std::vector<RateLimitReport>& reports, Instant now);
    /** @return what this gateway knows, the newest statements first, for the other gateways. */
    std::vector<RateLimitReport> reports(Instant now) const;
    /** Records that the reports were sent to the other gateways. */
    void recordReported(const std::vector<RateLimitReport>& reports, Instant now)
    {
        this->demand.recordReported(reports, now);
    }
    /** @return the rate that the endpoint has stated, in requests per second; unset without a limit. */
    std::optional<double> rateOf(const EndpointId& endpoint) const;

    /**
     * @param debt requests that may be sent beyond the share, for what would be lost otherwise.
     * @return true if this gateway may send another request to the endpoint.
     */
    bool allows(const EndpointId& endpoint, double debt, Instant now);
    /** Counts a request or another call that is sent to the endpoint. */
    void recordSent(const EndpointId& endpoint);
    /** @return the time until this gateway may send a request to the endpoint; zero if it may now. */
    Duration timeUntilAllowed(const EndpointId& endpoint, Instant now) const;
    /** @return the time between two requests that this gateway may send to a service; unset if it has no limit. */
    std::optional<Duration> intervalOf(const ServiceId& service, Instant now) const;
    /** Adds credit. Forgets the demand of gateways that report none any more, and limits that have long been over. */
    void tick(Instant now);

private:
    struct Entry {
        ServiceId service;
        /** Lower 32 bits of the hash of the endpoint's id. */
        std::uint32_t hash { 0 };
        RateLimit limit;
    };

    bool recordStatement(const EndpointId& endpoint, std::optional<double> requestsPerSecond, Instant at, Instant now);
    /** @return the endpoint's entry if it has a limit; null otherwise. */
    Entry* findLimited(const EndpointId& endpoint);
    const Entry* findLimited(const EndpointId& endpoint) const;
    double shareOf(const Entry& entry, Instant now) const;
    /** @return the share that this gateway has once the others know its present demand. */
    double expectedShareOf(const Entry& entry, Instant now) const;

    GatewayId self;
    std::size_t gatewayCount { 1 };
    DemandShares demand;
    std::optional<Instant> suspensionHandledAt;
    std::map<EndpointId, Entry> entries;
    /** Endpoints that have a limit, or had one until recently. */
    std::set<EndpointId> limited;
    std::map<std::uint32_t, EndpointId> endpointByHash;
};

}
