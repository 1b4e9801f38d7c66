#pragma once

#include "core/gateway/GatewayState.h"

namespace teaselfold {

/** Why a request is refused because of crashes, and for how long. */
struct QuarantineVerdict {
    std::string reason;
    Milliseconds remaining { 0 };
};

/**
 * Attributes crashes of endpoints to requests and to parts of their prompts: reports how runs end to the quarantines,
 * and tells which requests must not be sent.
 */
class CrashAttribution {
public:
    explicit CrashAttribution(GatewayState& state)
        : state(state)
    {
    }

    /** Handles a run whose connection broke. */
    void runBroke(ActiveRequest& active, const Exchange& exchange, Instant now, GatewayActions& actions);
    /** Handles an unframed stream that its endpoint closed after a whole event. It is complete, or cut by a crash. */
    void streamClosed(ActiveRequest& active, const Exchange& exchange, Instant now, GatewayActions& actions);
    /** Probes endpoints of which it is not certain whether they crashed. */
    void tick(Instant now, GatewayActions& actions);
    /** Handles the result of a probe. */
    void endpointProbed(const EndpointProbed& event, Instant now, GatewayActions& actions);
    /** Handles a response of an endpoint. */
    void endpointAnswered(const Exchange& exchange, Instant now, GatewayActions& actions);
    /** Handles connections that endpoints refused to another gateway. */
    void merge(const std::vector<RefusedConnection>& refusedConnections, Instant now, GatewayActions& actions);
    /** Handles a connection that an endpoint refused. */
    void connectionRefused(const EndpointId& endpoint, Instant now, GatewayActions& actions);
    /** Handles an event of a run, which may be the one that shows that it got past its start. */
    void runAdvanced(ActiveRequest& active, Exchange& exchange, Instant now);
    /** Handles a request whose response is complete. */
    void requestCompleted(const ActiveRequest& active, Instant now);
    /** Handles a run that produced its whole output, or a response in full. */
    void runSucceeded(const ActiveRequest& active, Instant now);

    /** @return why the request must not be sent; unset if it may be. */
    std::optional<QuarantineVerdict> quarantineOf(const ActiveRequest& active, Instant now) const;
    /** @return true if a broken run may be resumed, since its request is not suspected of crashes. */
    bool mayResume(const ActiveRequest& active, Instant now) const;

private:
    /** Handles the end of a run that may be due to a crash. */
    void addEnd(const ActiveRequest& active, const Exchange& exchange, bool mayBeComplete, Instant now,
        GatewayActions& actions);
    /** @return true if the endpoint runs as another incarnation than the one that a run was sent to. */
    bool isReplaced(const EarlyEnd& end);
    /** Handles the ends of runs of which it is certain now whether they are due to a crash. */
    void weighEnds(Instant now, GatewayActions& actions);

    GatewayState& state;
};

}
