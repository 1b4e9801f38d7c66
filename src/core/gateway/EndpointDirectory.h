#pragma once

#include "ports/GatewayLimits.h"
#include "ports/GatewayMessages.h"
#include "ports/PeerMessages.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace teaselfold {

/** One endpoint as this instance knows it. */
struct GatewayEndpoint {
    EndpointRecord record;
    /** Low half of the XXH3 hash of the id, by which instances name the endpoint to each other. */
    std::uint32_t idHash { 0 };
    Instant coldUntil;
    /** The record is gone, but its endpoint may only have lost contact with the store. */
    std::optional<Instant> removedAt;
    /** Exchanges of this instance. */
    std::uint32_t inFlight { 0 };
    /** Tokens that this instance's requests are expected to hold at their end. */
    std::uint64_t tokensInFlight { 0 };
    /** Tokens of prompts of this instance's requests of which no event has come yet. */
    std::uint64_t promptTokens { 0 };
    /** Tokens of copies that this instance's runs elsewhere keep here. */
    std::uint64_t copyTokens { 0 };
    /** Learned time between two events of a stream; nothing before the first stream. */
    std::optional<Duration> eventTime;
    /** Work of other instances at the last report. */
    std::uint32_t foreignWork { 0 };
    Instant reportedAt;
    std::uint32_t failuresInRow { 0 };
    Instant ejectedUntil;
    /** Times of the requests sent within the last second while cold. */
    std::deque<Instant> sentWhileCold;
};

/** The endpoints of all services, and which of them may get work. */
class EndpointDirectory {
public:
    explicit EndpointDirectory(const GatewayLimits& limits)
        : limits(limits)
    {
    }

    /** Replaces all. @param graceUntil missing endpoints are kept until then. @return those that newly leave. */
    std::vector<EndpointId> list(
        const std::vector<EndpointRecord>& records, std::optional<Instant> graceUntil, Instant now);
    /** Applies changes. @return the endpoints that newly leave. */
    std::vector<EndpointId> change(const EndpointsChanged& changes, std::optional<Instant> graceUntil, Instant now);
    /** Forgets endpoints whose grace is over. @return them. */
    std::vector<EndpointId> expire(Instant now);
    void setZonesOut(std::set<ZoneId> zones) { this->zonesOut = std::move(zones); }

    GatewayEndpoint* find(const EndpointId& endpoint);
    /** @return true when the endpoint may get new work. */
    bool mayWork(const EndpointId& endpoint) const;
    /** @param instances that share what a cold endpoint bears. @return the endpoints that may get one more request. */
    std::vector<GatewayEndpoint*> candidates(const GatewayService& service, std::size_t instances, Instant now);
    /** @return this instance's work at each endpoint. */
    std::vector<EndpointUsage> usages() const;

    void begin(const EndpointId& endpoint, std::uint64_t tokens, Instant now);
    void finish(const EndpointId& endpoint, std::uint64_t tokens);
    /** A prompt waits to be read at the endpoint, or does so no longer. */
    void addPrompt(const EndpointId& endpoint, std::uint64_t tokens);
    void removePrompt(const EndpointId& endpoint, std::uint64_t tokens);
    /** A copy of a run's memory is kept at the endpoint from now on, or no longer. */
    void addCopy(const EndpointId& endpoint, std::uint64_t tokens);
    void removeCopy(const EndpointId& endpoint, std::uint64_t tokens);
    /** Learns from the time between events of one stream. */
    void learnEventTime(const EndpointId& endpoint, Duration time);
    void report(const EndpointId& endpoint, const ReportedLoad& load, Instant now);
    void succeed(const EndpointId& endpoint);
    /** @return true when the endpoint is ejected from now on. */
    bool fail(const EndpointId& endpoint, Instant now);

private:
    bool isUsable(const GatewayEndpoint& endpoint) const;
    bool bearsMore(GatewayEndpoint& endpoint, const GatewayService& service, std::size_t instances, Instant now) const;
    /** @return true when the endpoint newly leaves. */
    bool apply(const EndpointRecord& record, Instant now);

    const GatewayLimits& limits;
    std::map<EndpointId, GatewayEndpoint> endpoints;
    std::set<ZoneId> zonesOut;
};

}
