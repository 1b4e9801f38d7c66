#pragma once

#include "core/gateway/GatewayState.h"

#include <map>

namespace teaselfold {

/**
 * Hands running streams over from engines that leave. The memory is copied while the run goes on; then the run stops,
 * what is new is copied, and the stream goes on at the other engine. One run of an engine at a time, since its
 * transfers queue behind each other; which one is decided anew for each, as streams begin and end meanwhile.
 */
class MoveKeeper {
public:
    explicit MoveKeeper(GatewayState& state)
        : state(state)
    {
    }

    /** Moves the streams of an engine that leaves from now on. */
    void endpointLeaves(const EndpointId& endpoint, Instant now, GatewayActions& actions);
    /** A stream of an endpoint got an event: from the first one on it can be moved. */
    void streamAdvanced(const EndpointId& endpoint, Instant now, GatewayActions& actions);
    /** @return the request whose stream is ready to go on elsewhere, if the answer made it so. */
    std::optional<RequestId> answered(const MigrationResponseReceived& event, Instant now, GatewayActions& actions);
    /**
     * A stream ended before its end. @return where it goes on; nothing when it has no copy, or when the move that
     * stopped it is still being answered.
     */
    std::optional<ResumePoint> streamEnded(ActiveRequest& active);
    /** @return true when the stream waits for the answer to a move. */
    static bool isWaiting(const ActiveRequest& active);
    /** Forgets engines that have no stream left. */
    void expire();
    /** The request is over: the engine's next run may move. */
    void forget(const ActiveRequest& active, Instant now, GatewayActions& actions);

private:
    void startNext(const EndpointId& source, Instant now, GatewayActions& actions);
    /** @return the stream of an engine with most to lose; null when none is worth a move. */
    ActiveRequest* nextToMove(const EndpointId& source);
    bool start(ActiveRequest& active, const EndpointId& source, Instant now, GatewayActions& actions);
    /** Sends the call of the move's phase. */
    void order(ActiveRequest& active, Instant now, GatewayActions& actions);
    bool isWorthMoving(const ActiveRequest& active) const;
    /** @return where a stopped stream goes on, and forgets the move. */
    static std::optional<ResumePoint> takeResumePoint(ActiveRequest& active);
    /** The move is over, whatever came of it. */
    void settle(const RunMove& move);

    GatewayState& state;
    /** Engines that leave, and the request whose move is under way at each. */
    std::map<EndpointId, std::optional<RequestId>> leaving;
    std::map<ExchangeId, RequestId> byExchange;
};

}
