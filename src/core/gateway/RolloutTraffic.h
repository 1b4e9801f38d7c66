#pragma once

#include "core/gateway/ActiveRequest.h"
#include "core/gateway/RolloutTracker.h"

#include <map>

namespace teaselfold {

/** Divides the requests of a service between its versions during a roll-out, and counts the answers to them. */
class RolloutTraffic {
public:
    RolloutTraffic(RolloutTracker& rollouts, EndpointDirectory& endpoints)
        : rollouts(rollouts)
        , endpoints(endpoints)
    {
    }

    /** Decides whether a new request is one that shows how good the new version is. */
    bool drawProbe(const ServiceId& service);
    /** Removes the endpoints whose version is not to get the request. */
    void filter(const ActiveRequest& active, std::vector<GatewayEndpoint*>& candidates);
    /** Removes the endpoints whose version is not to get copies of KV caches. */
    void filterCopyTargets(const ServiceId& service, std::vector<GatewayEndpoint*>& candidates);

    void sent(const ActiveRequest& active, Exchange& exchange, bool isResumed);
    void answered(const ActiveRequest& active, Exchange& exchange, const ResponseSummary& response, Instant now);
    /** The first event of a stream was relayed. */
    void streamBegan(const ActiveRequest& active, Exchange& exchange, Instant now);
    /** A stream ended as it should. */
    void streamEnded(const ActiveRequest& active, const Exchange& exchange, Instant now);
    /** The connection broke while the request was at the endpoint. */
    void broke(const ActiveRequest& active, const Exchange& exchange);
    /** Counts the answers that are overdue, so that an endpoint that does not answer at all is noticed in time. */
    void tick(
        const std::map<RequestId, ActiveRequest>& requests, std::map<ExchangeId, Exchange>& exchanges, Instant now);

private:
    /** What is measured of a route. */
    enum class Measure : std::uint8_t {
        /** Time to the response, or to the first event of a stream. */
        Response,
        /** Time between the events of a stream. */
        Pace,
    };

    /** @return the roll-out of the request's service if its answers count; otherwise null. */
    Rollout* watched(const ActiveRequest& active);
    /** @param time unset if the answer is a failure. */
    void record(Rollout& rollout, const ActiveRequest& active, const Exchange& exchange, Measure measure,
        std::optional<Duration> time, Instant now);
    static std::uint32_t routeHashOf(const ActiveRequest& active, Measure measure);

    RolloutTracker& rollouts;
    EndpointDirectory& endpoints;
};

}
