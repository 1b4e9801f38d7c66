#pragma once

#include "core/gateway/EndpointPicker.h"
#include "core/gateway/GatewayState.h"
#include "core/gateway/MoveKeeper.h"

namespace teaselfold {

/** Sends requests to endpoints, and decides what an endpoint's answer or silence means for the caller. */
class ExchangeKeeper {
public:
    ExchangeKeeper(GatewayState& state, MoveKeeper& moves)
        : state(state)
        , moves(moves)
    {
    }

    /** Sends a request to an endpoint, or lets it wait for one. */
    void dispatch(ActiveRequest& active, Instant now, GatewayActions& actions);
    void answered(const ResponseReceived& event, Instant now, GatewayActions& actions);
    void ended(const ExchangeEnded& event, Instant now, GatewayActions& actions);
    void relayed(const EventsRelayed& event, Instant now, GatewayActions& actions);
    void abandon(RequestId request, Instant now, GatewayActions& actions);
    void moveAnswered(const MigrationResponseReceived& event, Instant now, GatewayActions& actions);
    /** Ends requests whose time is up, and sends or refuses those that wait. */
    void tick(Instant now, GatewayActions& actions);

private:
    void start(ActiveRequest& active, GatewayEndpoint& endpoint, std::optional<ResumePoint> resume, Instant now,
        GatewayActions& actions);
    std::optional<Address> placeReplica(ActiveRequest& active, const GatewayEndpoint& endpoint, Instant now);
    /** Goes on with a stream at the engine that holds its memory. @return false when that engine is gone. */
    bool resume(ActiveRequest& active, const EndpointId& endpoint, const ResumePoint& point, Instant now,
        GatewayActions& actions);
    GatewayEndpoint* pick(const ActiveRequest& active, const std::set<EndpointId>& excluded, Instant now) const;
    bool mayRepeat(const ActiveRequest& active, Instant now);
    void retryOrFail(ActiveRequest& active, Failure failure, Instant now, GatewayActions& actions);
    /** An endpoint did not take the request, or gave an answer that does not count. */
    void turnedAway(ActiveRequest& active, const Exchange& exchange, const ResponseSummary& response, Instant now,
        GatewayActions& actions);
    void watchCrash(
        const ActiveRequest& active, const Exchange& exchange, ExchangeEnd end, Instant now, GatewayActions& actions);
    /** Nothing was sent: the request goes to another endpoint without using up an attempt. */
    void sendElsewhere(ActiveRequest& active, Instant now, GatewayActions& actions);
    void breakOff(ActiveRequest& active, Instant now, GatewayActions& actions);
    bool continueElsewhere(ActiveRequest& active, Instant now, GatewayActions& actions);
    void refuse(ActiveRequest& active, Failure failure, Instant now, GatewayActions& actions);
    void finish(const ActiveRequest& active, Instant now, GatewayActions& actions);
    void expire(ActiveRequest& active, Instant now, GatewayActions& actions);
    /** @return how long a request may wait for an endpoint. */
    Duration waitLimit(const ActiveRequest& active) const;
    void serveWaiting(Instant now, GatewayActions& actions);
    std::optional<Exchange> takeExchange(ExchangeId exchange);
    ActiveRequest* find(RequestId request);

    GatewayState& state;
    MoveKeeper& moves;
};

}
