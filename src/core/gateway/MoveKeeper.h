#pragma once

#include "core/gateway/GatewayState.h"

#include <deque>
#include <map>

namespace teaselfold {

/**
 * Hands running streams over from engines that leave. The memory is copied while the run goes on; then the run stops,
 * what is new is copied, and the stream goes on at the other engine. One run of an engine at a time, since its
 * transfers queue behind each other.
 */
class MoveKeeper {
public:
    explicit MoveKeeper(GatewayState& state)
        : state(state)
    {
    }

    /** Plans moves for the streams of an engine that leaves. */
    void endpointLeaves(const EndpointId& endpoint, Instant now, GatewayActions& actions);
    /** @return the request whose stream is ready to go on elsewhere, if the answer made it so. */
    std::optional<RequestId> answered(const MoveAnswered& event, Instant now, GatewayActions& actions);
    /**
     * A stream ended before its end. @return where it goes on; nothing when it has no copy, or when the move that
     * stopped it is still being answered.
     */
    std::optional<ResumePoint> streamEnded(ActiveRequest& active);
    /** @return true when the stream waits for the answer to a move. */
    static bool isWaiting(const ActiveRequest& active);
    /** @return where a stopped stream goes on, and forgets the move. */
    static std::optional<ResumePoint> takeResumePoint(ActiveRequest& active);
    /** The request is over: the engine's next run may move. */
    void forget(const ActiveRequest& active, Instant now, GatewayActions& actions);

private:
    void startNext(const EndpointId& source, Instant now, GatewayActions& actions);
    bool start(ActiveRequest& active, const EndpointId& source, Instant now, GatewayActions& actions);
    void order(const ActiveRequest& active, bool stopsRun, GatewayActions& actions);
    bool isWorthMoving(const ActiveRequest& active) const;

    GatewayState& state;
    /** Streams that wait for their move, by the engine that leaves. */
    std::map<EndpointId, std::deque<RequestId>> queues;
    /** The move under way at each engine that leaves. */
    std::map<EndpointId, RequestId> underWay;
    std::map<ExchangeId, RequestId> byExchange;
};

}
