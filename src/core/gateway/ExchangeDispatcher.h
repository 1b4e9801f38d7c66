#pragma once

#include "core/gateway/CrashAttribution.h"
#include "core/gateway/DispatchOrder.h"
#include "core/gateway/EndpointNotices.h"
#include "core/gateway/EndpointPicker.h"
#include "core/gateway/GatewayState.h"
#include "core/gateway/RequestCompletion.h"
#include "core/gateway/StreamMigrator.h"

namespace teaselfold {

/**
 * Dispatches requests to endpoints, and decides between retry, failover and failure when an endpoint responds, the
 * connection breaks or the deadline passes.
 */
class ExchangeDispatcher {
public:
    ExchangeDispatcher(GatewayState& state, StreamMigrator& migrator, RequestCompletion& completion)
        : state(state)
        , migrator(migrator)
        , completion(completion)
        , crashes(state)
        , notices(state, migrator)
        , order(state)
    {
    }

    /** Sends a request to an endpoint, or queues it if none is available. */
    void dispatch(ActiveRequest& active, Instant now, GatewayActions& actions);
    void responseReceived(const ResponseReceived& event, Instant now, GatewayActions& actions);
    void exchangeEnded(const ExchangeEnded& event, Instant now, GatewayActions& actions);
    void eventsRelayed(const EventsRelayed& event, Instant now, GatewayActions& actions);
    void migrationResponseReceived(const MigrationResponseReceived& event, Instant now, GatewayActions& actions);
    /** Ends requests that reached their deadline, and dispatches or refuses the queued ones. */
    void tick(Instant now, GatewayActions& actions);

private:
    /** Starts an exchange. @param resume point at which a broken stream resumes; unset for a new attempt. */
    void startExchange(ActiveRequest& active, GatewayEndpoint& endpoint, std::optional<ResumePoint> resume, Instant now,
        GatewayActions& actions);
    /** Chooses the engine that replicates a stream's KV cache. @return the engine's address, if any. */
    std::optional<Address> placeReplica(ActiveRequest& active, const GatewayEndpoint& endpoint, Instant now);
    /**
     * Resumes a stream at the engine that holds a copy of its KV cache.
     * @param refusal why that engine cannot have the stream; empty if it can.
     * @return false if the stream does not resume.
     */
    bool resume(ActiveRequest& active, const EndpointId& endpoint, const ResumePoint& point, const std::string& refusal,
        Instant now, GatewayActions& actions);
    /** Resumes a stream whose engine broke off from one of its copies. @return false if it does not resume. */
    bool resumeFromKeptCopy(ActiveRequest& active, Instant now, GatewayActions& actions);
    /**
     * Tries to resume a run that was stopped for a migration, or lets it wait for its next try.
     * @return false if it does not resume.
     */
    bool resumeStoppedRun(ActiveRequest& active, Instant now, GatewayActions& actions);
    GatewayEndpoint* pickEndpoint(const ActiveRequest& active, const std::set<EndpointId>& excluded, Instant now) const;
    /** Withdraws one retry from the budget if the request may be repeated. @return true if a retry may be sent. */
    bool reserveRetry(const ActiveRequest& active, Instant now);
    void retryOrFail(ActiveRequest& active, Failure failure, Instant now, GatewayActions& actions);
    /** Handles a response that refuses the request or is not the result of a run. */
    void handleRejection(ActiveRequest& active, const Exchange& exchange, const ResponseSummary& response, Instant now,
        GatewayActions& actions);
    /** Dispatches a request again after an attempt that did not reach its endpoint and is therefore not counted. */
    void redispatch(ActiveRequest& active, Instant now, GatewayActions& actions);
    /** Completes a stream that ended with its connection, or resumes one whose run may have been stopped. */
    void streamClosed(ActiveRequest& active, ExchangeEnd end, Instant now, GatewayActions& actions);
    /** Recovers from a broken exchange: resumes a stream that has a copy; otherwise retries or fails the request. */
    void recoverOrFail(ActiveRequest& active, Instant now, GatewayActions& actions);
    /** @return true if the stream resumes elsewhere or waits for the response to a copy call. */
    bool tryFailover(ActiveRequest& active, Instant now, GatewayActions& actions);
    /** Dispatches the requests of a group in their order until one has to wait on. */
    void dispatchGroup(const WaitingGroup& group, Instant now, GatewayActions& actions);
    void dispatchWaiting(Instant now, GatewayActions& actions);
    /** Resumes the stopped runs whose next try is due. */
    void resumeWaitingRuns(Instant now, GatewayActions& actions);
    ActiveRequest* findRequest(RequestId request);

    GatewayState& state;
    StreamMigrator& migrator;
    RequestCompletion& completion;
    CrashAttribution crashes;
    EndpointNotices notices;
    DispatchOrder order;
};

}
