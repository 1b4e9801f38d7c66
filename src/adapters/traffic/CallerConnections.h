#pragma once

#include "adapters/traffic/CallerState.h"
#include "adapters/traffic/TrafficContext.h"

#include <map>
#include <memory>

namespace teaselfold {

struct LocalResponse;

/** Manages the connections of callers: reads their requests and writes the responses. */
class CallerConnections {
public:
    CallerConnections(TrafficContext& context, const CallerBudgetLimits& limits)
        : context(context)
        , budget(limits)
    {
    }

    void connected(ConnectionId connection);
    void received(ConnectionId connection, std::string_view bytes);
    /** Removes a closed connection. Reports its open request as abandoned, and a response that was not written whole.
     */
    void closed(ConnectionId connection, const ConnectionClosure& closure);
    /** All queued bytes of the connection are written: its next request is taken up. */
    void drained(ConnectionId connection);
    bool owns(ConnectionId connection) const { return this->callers.contains(connection); }
    /**
     * Rejects requests that exceed the read timeout, and closes connections that exceed the idle timeout or whose
     * caller does not take its answer.
     */
    void tick();
    /** Closes the connections and refuses the requests that the budget chooses, so that the others keep within memory.
     */
    void keepWithinMemory();
    /** Records the memory that the response to a request takes before it is relayed. */
    void setBufferedResponse(RequestId request, std::size_t bytes);
    void setBounds(const CallerBounds& callerBounds) { this->bounds = callerBounds; }
    /** From now on, each response closes its connection. */
    void beginDrain() { this->draining = true; }
    /** @return true when a part of a response is queued but not yet written. */
    bool hasUnsentBytes() const;
    /** Reports the responses of which a part is still queued as lost, because the process exits. */
    void reportUnsentResponses();
    /** Closes connections on which no request is being read or processed and no response is being written. */
    void closeIdleConnections();

    /** @return the request, or null when its response is complete or its caller has disconnected. */
    const CallerRequest* find(RequestId request) const;
    /**
     * Sends the head of a response. Does nothing when the head was sent before, as for a resumed stream.
     * @param length body size in bytes; nothing for a stream.
     */
    void startResponse(RequestId request, ResponseHead head, std::optional<std::size_t> length);
    void writeBody(RequestId request, std::string_view bytes);
    void completeResponse(RequestId request);
    /** Responds to a request with a failure. */
    void sendFailure(RequestId request, const Failure& failure);
    /** Ends the connection in the middle of a response, so that the caller detects that it is incomplete. */
    void abortResponse(RequestId request);
    /** @return number of bytes queued for the caller. */
    std::size_t queuedBytes(RequestId request) const;

private:
    using Phase = CallerPhase;

    void processInbound(ConnectionId connection);
    /** @return false when the head is incomplete or was rejected. */
    bool readHead(ConnectionId connection, CallerState& caller);
    /** @return true when the body is complete; false also when it was rejected. */
    bool readBody(ConnectionId connection, CallerState& caller);
    void submitRequest(ConnectionId connection, CallerState& caller);
    /** Closes a connection on which no request is being read or processed. */
    void closeIdle(ConnectionId connection);
    void rejectRequest(ConnectionId connection, CallerState& caller, std::uint16_t status, const std::string& reason);
    /** Refuses a request that is not received whole because the process has no memory for it. */
    void refuseForMemory(ConnectionId connection, CallerState& caller);
    void closeRejected(ConnectionId connection, CallerState& caller, const LocalResponse& response);
    /** Records what a connection holds now. */
    void record(ConnectionId connection);
    CallerUsage usage(ConnectionId connection, const CallerState& caller) const;
    /** Closes a connection at once. A request in progress on it counts as abandoned. */
    void shed(ConnectionId connection, std::string_view reason);
    /** Closes connections that are too many beside those to endpoints and status clients. */
    void keepWithinConnections();
    /** Closes connections whose callers have not taken any of their answers for too long. */
    void shedUnread();
    void finishRequest(RequestId request);
    CallerRequest* findMutable(RequestId request);

    TrafficContext& context;
    CallerBounds bounds;
    CallerBudget budget;
    Instant nextUnreadCheck;
    std::map<ConnectionId, CallerState> callers;
    std::map<RequestId, CallerRequest> requests;
    std::uint64_t lastRequest { 0 };
    bool draining { false };
};

}
