#pragma once

#include "core/gateway/CrashAttribution.h"
#include "core/gateway/GatewayState.h"
#include "core/gateway/StreamMigrator.h"

namespace teaselfold {

/** Ends requests: with the end of their response, a failure or a refusal, at their deadline, or for a stop. */
class RequestCompletion {
public:
    RequestCompletion(GatewayState& state, StreamMigrator& migrator)
        : state(state)
        , migrator(migrator)
        , crashes(state)
    {
    }

    /** Ends a request whose response is complete. */
    void complete(const ActiveRequest& active, Instant now, GatewayActions& actions);
    /** Ends a request with a failure: aborts the response if it has started, otherwise sends an error. */
    void fail(ActiveRequest& active, Failure failure, Instant now, GatewayActions& actions);
    /** Refuses a request that no endpoint can take now. */
    void refuseUnserved(ActiveRequest& active, const std::string& reason, Instant now, GatewayActions& actions);
    /** Refuses a request that may not be sent to an endpoint any more because of a stop. */
    void refuseForStop(ActiveRequest& active, Instant now, GatewayActions& actions);
    /** Refuses a request that is quarantined, or that has a quarantined part of a prompt. */
    void refuseQuarantined(
        ActiveRequest& active, const QuarantineVerdict& verdict, Instant now, GatewayActions& actions);
    /** Ends a request whose caller's connection ended. @param reason how it ended, for the log. */
    void abandon(RequestId request, const std::string& reason, Instant now, GatewayActions& actions);
    /** Ends a request that reached its deadline. */
    void expire(ActiveRequest& active, Instant now, GatewayActions& actions);
    /** Ends and logs all requests, because the stop has reached its limit. */
    void cutAll(Instant now, GatewayActions& actions);
    /** @return the time after which the caller of a request that no endpoint takes now may come back. */
    Milliseconds retryAfterOf(const ActiveRequest& active, Instant now);
    /** Removes an exchange and its load at the endpoints. @return the exchange, unless it is unknown. */
    std::optional<Exchange> removeExchange(ExchangeId exchange);

private:
    /** Cancels the request's exchange, if any; its endpoint may have run it. */
    void cancelExchange(ActiveRequest& active, GatewayActions& actions);
    /** Ends a request with the failure that a stop is the reason for. */
    void failForStop(ActiveRequest& active, Instant now, GatewayActions& actions);
    void remove(const ActiveRequest& active, Instant now, GatewayActions& actions);
    /** Learns from the output of a stream that was cut off. */
    void recordCutOutput(const ActiveRequest& active);

    GatewayState& state;
    StreamMigrator& migrator;
    CrashAttribution crashes;
};

}
