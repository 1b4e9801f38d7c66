#pragma once

#include "core/gateway/EndpointPicker.h"
#include "core/gateway/GatewayState.h"
#include "core/gateway/StreamMigrator.h"

namespace teaselfold {

/**
 * Dispatches requests to endpoints, and decides on retry, failover or failure when an endpoint answers, breaks the
 * connection or times out.
 */
class ExchangeDispatcher {
public:
    ExchangeDispatcher(GatewayState& state, StreamMigrator& migrator)
        : state(state)
        , migrator(migrator)
    {
    }

    /** Sends a request to an endpoint, or queues it if none is available. */
    void dispatch(ActiveRequest& active, Instant now, GatewayActions& actions);
    void answered(const ResponseReceived& event, Instant now, GatewayActions& actions);
    void ended(const ExchangeEnded& event, Instant now, GatewayActions& actions);
    void relayed(const EventsRelayed& event, Instant now, GatewayActions& actions);
    /** Cancels a request whose caller disconnected. */
    void abandon(RequestId request, Instant now, GatewayActions& actions);
    void moveAnswered(const MigrationResponseReceived& event, Instant now, GatewayActions& actions);
    /** Ends requests that reached their deadline, and dispatches or refuses the queued ones. */
    void tick(Instant now, GatewayActions& actions);

private:
    /** Starts an exchange. @param resume where a broken stream resumes; empty for a new attempt. */
    void startExchange(ActiveRequest& active, GatewayEndpoint& endpoint, std::optional<ResumePoint> resume, Instant now,
        GatewayActions& actions);
    /** Chooses the engine that replicates a stream's KV cache. @return its address; empty for no replica. */
    std::optional<Address> placeReplica(ActiveRequest& active, const GatewayEndpoint& endpoint, Instant now);
    /** Resumes a stream at the engine that holds a copy of its KV cache. @return false if that engine is unavailable.
     */
    bool resume(ActiveRequest& active, const EndpointId& endpoint, const ResumePoint& point, Instant now,
        GatewayActions& actions);
    GatewayEndpoint* pickEndpoint(const ActiveRequest& active, const std::set<EndpointId>& excluded, Instant now) const;
    /** Withdraws one retry from the budget if the request may be repeated. @return true if a retry may be sent. */
    bool reserveRetry(const ActiveRequest& active, Instant now);
    void retryOrFail(ActiveRequest& active, Failure failure, Instant now, GatewayActions& actions);
    /** Handles an endpoint that refused the request or whose answer is not the result of a run. */
    void handleRejection(ActiveRequest& active, const Exchange& exchange, const ResponseSummary& response, Instant now,
        GatewayActions& actions);
    void detectCrash(
        const ActiveRequest& active, const Exchange& exchange, ExchangeEnd end, Instant now, GatewayActions& actions);
    /** Dispatches a request that no endpoint received to another endpoint, without counting the attempt. */
    void redispatch(ActiveRequest& active, Instant now, GatewayActions& actions);
    /** Handles a broken exchange: fails a stream over if it has a copy; otherwise retries or fails the request. */
    void recoverOrFail(ActiveRequest& active, Instant now, GatewayActions& actions);
    /** @return true if the stream resumes elsewhere or waits for the answer to a copy call. */
    bool tryFailover(ActiveRequest& active, Instant now, GatewayActions& actions);
    /** Ends a request with a failure: cuts the answer if it has started, otherwise sends a refusal. */
    void failRequest(ActiveRequest& active, Failure failure, Instant now, GatewayActions& actions);
    void removeRequest(const ActiveRequest& active, Instant now, GatewayActions& actions);
    /** Ends a request that reached its deadline. */
    void expireRequest(ActiveRequest& active, Instant now, GatewayActions& actions);
    /** @return the time for which a request may wait for an endpoint. */
    Duration waitLimit(const ActiveRequest& active) const;
    void dispatchWaiting(Instant now, GatewayActions& actions);
    /** Removes an exchange and its load at the endpoints. @return the exchange; empty if it is unknown. */
    std::optional<Exchange> removeExchange(ExchangeId exchange);
    ActiveRequest* findRequest(RequestId request);

    GatewayState& state;
    StreamMigrator& migrator;
};

}
