#pragma once

#include "adapters/traffic/BodyDecoder.h"
#include "adapters/traffic/TrafficContext.h"

#include <map>
#include <memory>

namespace teaselfold {

/** A complete request, kept until its response is complete. */
struct CallerRequest {
    ConnectionId connection;
    RequestHead head;
    /** Shared with the endpoint connections that send it. */
    std::shared_ptr<const std::string> body;
    std::string callerRequestId;
    bool closeAfterResponse { false };
    bool responseStarted { false };
    bool isChunked { false };
    /** Only the end of the connection marks the end of the response. */
    bool endsWithConnection { false };
};

/** Manages the connections of callers: reads their requests and writes the responses. */
class CallerConnections {
public:
    explicit CallerConnections(TrafficContext& context)
        : context(context)
    {
    }

    void connected(ConnectionId connection);
    void received(ConnectionId connection, std::string_view bytes);
    /** Removes a closed connection. Reports its open request as abandoned, and a response that was not written whole.
     */
    void closed(ConnectionId connection, const ConnectionClosure& closure);
    bool owns(ConnectionId connection) const { return this->callers.contains(connection); }
    /** Rejects requests that exceed the read timeout, and closes connections that exceed the idle timeout. */
    void tick();
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
    enum class Phase : std::uint8_t {
        Head,
        Body,
        Response,
        /** The last response was queued; further requests are ignored. */
        Closing,
    };

    struct Caller {
        std::string inbound;
        Phase phase { Phase::Head };
        std::optional<BodyDecoder> decoder;
        RequestHead head;
        std::string body;
        RequestId request;
        /** The caller's id of the last request whose response was queued whole or aborted. */
        std::string lastEnded;
        Instant phaseStartedAt;
    };

    void processInbound(ConnectionId connection);
    /** @return false when the head is incomplete or was rejected. */
    bool readHead(ConnectionId connection, Caller& caller);
    /** @return true when the body is complete; false also when it was rejected. */
    bool readBody(ConnectionId connection, Caller& caller);
    void submitRequest(ConnectionId connection, Caller& caller);
    /** Closes a connection on which no request is being read or processed. */
    void closeIdle(ConnectionId connection);
    void rejectRequest(ConnectionId connection, Caller& caller, std::uint16_t status, const std::string& reason);
    void finishRequest(RequestId request);
    CallerRequest* findMutable(RequestId request);

    TrafficContext& context;
    CallerBounds bounds;
    std::map<ConnectionId, Caller> callers;
    std::map<RequestId, CallerRequest> requests;
    std::uint64_t lastRequest { 0 };
    bool draining { false };
};

}
