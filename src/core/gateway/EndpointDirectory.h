#pragma once

#include "core/gateway/EndpointPace.h"
#include "core/gateway/EndpointRateLimits.h"
#include "core/gateway/ExternalLoadEstimate.h"
#include "core/gateway/LeavingEndpoints.h"
#include "core/gateway/SlowdownShares.h"
#include "core/gateway/VersionRule.h"
#include "ports/GatewayLimits.h"
#include "ports/GatewayMessages.h"
#include "ports/PeerMessages.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace teaselfold {

/** Event interval and time to the first event that are assumed for an engine without measured ones. */
constexpr Milliseconds assumedEventInterval(35);
constexpr Milliseconds assumedFirstEventTime(500);

/** State of one endpoint as known to this gateway. */
struct GatewayEndpoint {
    EndpointRecord record;
    /** Lower 32 bits of the XXH3 hash of the id, which identify the endpoint in messages between gateways. */
    std::uint32_t idHash { 0 };
    /** The endpoint announced in an answer that it leaves. */
    bool announcedLeaving { false };
    /** When this gateway first saw this incarnation of the endpoint. */
    Instant knownSince;
    /** When this gateway learned that the endpoint leaves; unset if it was leaving already when it was first seen. */
    std::optional<Instant> leavingSince;
    /** Until then the endpoint, which was full, wants no requests of this gateway. */
    Instant restsUntil;
    /** Requests that were sent nevertheless. */
    std::uint32_t sentWhileResting { 0 };
    Instant lastSentAt;
    /** End of the warm-up, during which the endpoint is cold: it gets requests at a limited rate. */
    Instant coldUntil;
    /** When an endpoint without a record is removed. It is kept until then because the store may have been down. */
    std::optional<Instant> removalDueAt;
    /** Number of this gateway's exchanges in progress. */
    std::uint32_t inFlight { 0 };
    /** Tokens that this gateway's requests are expected to hold when they finish. */
    std::uint64_t tokensInFlight { 0 };
    /** Prompt tokens of this gateway's requests that have not produced an event yet. */
    std::uint64_t promptTokens { 0 };
    /** Tokens of KV cache copies that this endpoint keeps for this gateway's runs at other engines. */
    std::uint64_t copyTokens { 0 };
    /** Moving average of the time between two events of a stream; unset before the first stream. */
    std::optional<Duration> eventInterval;
    /** Moving average of the time from sending a stream's request to its first event; unset before the first stream. */
    std::optional<Duration> firstEventTime;
    /** Requests of other gateways according to the endpoint's load reports. */
    ExternalLoadEstimate externalLoad;
    EndpointPace pace;
    std::uint32_t consecutiveFailures { 0 };
    Instant ejectedUntil;
    /** Send times of the recent requests that count against the rate limit of a cold endpoint. */
    std::deque<Instant> sentWhileCold;
};

/** When a service takes requests again of whose endpoints none takes one now. */
struct ServiceReturn {
    /** Time until then; zero if nothing tells when. */
    Milliseconds time { 0 };
    /** The endpoint that is the first to return has reached its rate limit. */
    bool isRateLimited { false };
};

/** What a change of the endpoints' records did to the endpoints in use. */
struct DirectoryChange {
    /** Endpoints that began to drain or were removed. */
    std::vector<EndpointId> leaving;
    /** Endpoints without a record that are kept until the grace period ends. */
    std::vector<EndpointId> kept;
};

/** The endpoints of all services, their load and health, and which of them may receive requests. */
class EndpointDirectory {
public:
    /** @param self this gateway. */
    explicit EndpointDirectory(const GatewayLimits& limits, const GatewayId& self = {})
        : limits(limits)
        , limitsOfRate(limits, self)
    {
    }

    /** @return the endpoints' rate limits, which hold for all requests that this directory lets through. */
    EndpointRateLimits& rateLimits() { return this->limitsOfRate; }

    /**
     * @return the changes that differ from what is known. A record whose warm-up ends as expected does not.
     */
    EndpointsChanged differences(const EndpointsChanged& changes, Instant now) const;
    /**
     * Replaces all records.
     * @param graceUntil time until which endpoints without a record are kept; unset to remove them at once.
     */
    DirectoryChange replaceAll(
        const std::vector<EndpointRecord>& records, std::optional<Instant> graceUntil, Instant now);
    /**
     * Applies changes of single records.
     * @param graceUntil time until which endpoints without a record are kept; unset to remove them at once.
     */
    DirectoryChange applyChanges(const EndpointsChanged& changes, std::optional<Instant> graceUntil, Instant now);
    /**
     * Takes the records of endpoints that are not known from a list, and keeps those draining that are known to drain.
     * @return the records that were taken.
     */
    std::vector<EndpointRecord> takeUnconfirmed(std::vector<EndpointRecord>& records) const;
    /** Removes endpoints whose grace period is over. @return the removed endpoints. */
    std::vector<EndpointId> expire(Instant now);
    void setZonesOutOfService(std::set<ZoneId> zones) { this->zonesOutOfService = std::move(zones); }

    /** Sets which versions of a service's endpoints may receive requests; without a rule, all may. */
    void setVersionRule(const ServiceId& service, VersionRule rule) { this->versionRules[service] = std::move(rule); }

    GatewayEndpoint* find(const EndpointId& endpoint);
    /** @return all endpoints of a service. */
    std::vector<const GatewayEndpoint*> endpointsOf(const ServiceId& service) const;
    /** Calls a function with each endpoint. */
    template <typename Function> void forEach(const Function& function) const
    {
        for (const auto& [id, endpoint] : this->endpoints)
            function(endpoint);
    }
    /** @return true if the endpoint may receive new requests. */
    bool acceptsRequests(const EndpointId& endpoint) const;
    /**
     * Lists the endpoints of a service that may receive one more request. Ejected endpoints are listed only if there is
     * no other.
     * @param gatewayCount number of gateways that share the request rates of endpoints.
     */
    std::vector<GatewayEndpoint*> candidates(const GatewayService& service, std::size_t gatewayCount, Instant now);
    /**
     * @param endpoint hash of an endpoint's id.
     * @return the number of endpoints of its service that may receive requests; zero if it is not known.
     */
    std::size_t usableEndpointsBeside(std::uint32_t endpoint) const;
    /** @return this gateway's load at each endpoint. */
    std::vector<EndpointUsage> usages() const;

    void beginExchange(const EndpointId& endpoint, std::uint64_t tokens, Instant now);
    void endExchange(const EndpointId& endpoint, std::uint64_t tokens);
    /** Adds a prompt whose stream has not produced an event yet. */
    void addPendingPrompt(const EndpointId& endpoint, std::uint64_t tokens);
    void removePendingPrompt(const EndpointId& endpoint, std::uint64_t tokens);
    /** Adds a copy of a run's KV cache that is kept at the endpoint. */
    void addCopy(const EndpointId& endpoint, std::uint64_t tokens);
    void removeCopy(const EndpointId& endpoint, std::uint64_t tokens);
    /** Adds one interval between events of a stream to the endpoint's moving average. */
    void recordEventInterval(const EndpointId& endpoint, Duration interval);
    /** Adds one time from sending a stream's request to its first event to the endpoint's moving average. */
    void recordFirstEvent(const EndpointId& endpoint, Duration time);
    /** @return the average interval between events of a stream at the engines of a service. */
    Duration averageEventInterval(const ServiceId& service) const;
    /** @return the average interval between events at the fastest engine of a service; zero before the first stream. */
    Duration shortestEventInterval(const ServiceId& service) const;
    /** @return the average interval between events at the slowest engine of a service. */
    Duration longestEventInterval(const ServiceId& service) const;
    /** @return the average time from sending a stream's request to its first event at the slowest engine of a service.
     */
    Duration longestFirstEventTime(const ServiceId& service) const;
    /**
     * @return the time to the first event of a run that resumes at an engine. It is admitted first and reads only what
     * its copy lacks, so the time does not grow with the engine's load.
     */
    Duration resumptionTime(const EndpointId& endpoint) const;
    void recordLoad(const EndpointId& endpoint, const ReportedLoad& load, Instant now);
    /** @return what this gateway knows of the endpoints' pace from its own exchanges. */
    std::vector<EndpointCondition> conditions(Instant now) const;
    /** Adds what another gateway knows of the endpoints' pace. */
    void mergeConditions(const std::vector<EndpointCondition>& conditions, Instant now);
    /** @return how often the endpoints of a service state which slowdown. */
    const SlowdownShares& slowdownShares(const ServiceId& service) const;
    /** @return true if a prompt was added since the last call, which the other gateways should know of. */
    bool takePromptNews() { return std::exchange(this->hasPromptNews, false); }
    void recordSuccess(const EndpointId& endpoint);
    /** Records that the endpoint announced in an answer that it leaves. @return true if that was not known. */
    bool recordLeaving(const EndpointId& endpoint, Instant now);
    /**
     * Records that the endpoint wants no requests of this gateway for some time. An earlier answer may have stated a
     * longer one, which still holds. @return true if the endpoint did not rest before.
     */
    bool recordRest(const EndpointId& endpoint, Milliseconds time, Instant now);
    /** @return true while the endpoint wants no requests of this gateway. */
    bool isResting(const EndpointId& endpoint, Instant now) const;
    /** @return true if a stream that would be lost otherwise may resume at the endpoint. */
    bool acceptsResumption(const EndpointId& endpoint, Instant now);
    /** @return true if a stream may resume whose run was stopped when the endpoint still took requests. */
    bool acceptsStoppedRun(const EndpointId& endpoint, Instant now);
    /** @return true if a stream may return to the endpoint, which stopped its run a moment ago because it leaves. */
    bool acceptsReturn(const EndpointId& endpoint, Instant now);
    /** @return why the endpoint takes no requests now, or "ready"; for logs. */
    std::string_view stateName(const EndpointId& endpoint, Instant now) const;
    /**
     * @return when the service takes requests again, if all of its endpoints leave, rest or have reached their rate
     * limit; unset if the service has another endpoint, or none at all.
     */
    std::optional<ServiceReturn> nextReturn(const ServiceId& service, Instant now) const;
    /** Records a failure for outlier detection. @return true if the endpoint is ejected as a result. */
    bool recordFailure(const EndpointId& endpoint, Instant now);

private:
    static bool isLeaving(const GatewayEndpoint& endpoint)
    {
        return endpoint.record.isDraining || endpoint.announcedLeaving;
    }
    bool isUsable(const GatewayEndpoint& endpoint) const;
    bool hasAllowedVersion(const GatewayEndpoint& endpoint) const;
    /** @return the measured times of the endpoints of a service, and first the assumed one. */
    std::vector<Duration> measuredTimes(
        std::optional<Duration> GatewayEndpoint::*time, Duration assumed, const ServiceId& service) const;
    /** @return true while the endpoint rests, or has had a request a moment ago and rested shortly before. */
    static bool isHeldBack(const GatewayEndpoint& endpoint, Instant now);
    /** Removes an endpoint. @return the next one. */
    std::map<EndpointId, GatewayEndpoint>::iterator remove(
        std::map<EndpointId, GatewayEndpoint>::iterator endpoint, Instant now);
    bool differs(const EndpointRecord& record, Instant now) const;
    bool isBelowColdLimit(
        GatewayEndpoint& endpoint, const GatewayService& service, std::size_t gatewayCount, Instant now) const;
    /** Inserts or updates an endpoint. @return true if it begins to drain. */
    bool applyRecord(const EndpointRecord& record, Instant now);

    const GatewayLimits& limits;
    EndpointRateLimits limitsOfRate;
    std::map<EndpointId, GatewayEndpoint> endpoints;
    LeavingEndpoints leavingEndpoints;
    std::set<ZoneId> zonesOutOfService;
    std::map<ServiceId, VersionRule> versionRules;
    std::map<ServiceId, SlowdownShares> slowdowns;
    bool hasPromptNews { false };
};

}
