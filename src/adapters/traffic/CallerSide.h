#pragma once

#include "adapters/traffic/BodyDecoder.h"
#include "adapters/traffic/TrafficContext.h"

#include <map>
#include <memory>

namespace teaselfold {

/** One request of a caller, whole, until its answer is complete. */
struct CallerRequest {
    ConnectionId connection;
    RequestHead head;
    /** Shared with the connections that send it. */
    std::shared_ptr<const std::string> body;
    std::string callerRequestId;
    bool closesAfter { false };
    bool hasBegun { false };
    bool isChunked { false };
};

/** Reads requests from callers' connections, keeps the connections, and writes answers. */
class CallerSide {
public:
    explicit CallerSide(TrafficContext& context)
        : context(context)
    {
    }

    void connected(ConnectionId connection);
    void received(ConnectionId connection, std::string_view bytes);
    /** The caller left. */
    void closed(ConnectionId connection);
    bool owns(ConnectionId connection) const { return this->callers.contains(connection); }
    /** Closes connections that are slow with a head or idle for too long. */
    void tick();
    void setBounds(const CallerBounds& callerBounds) { this->bounds = callerBounds; }
    /** From now on each answer closes its connection. */
    void beginStop() { this->stopping = true; }
    /** Closes connections on which no request is being read or answered. */
    void closeIdle();

    /** @return the request, or null when it was answered or its caller is gone. */
    const CallerRequest* find(RequestId request) const;
    /** Begins an answer. @param length of the body; nothing for a stream. Does nothing on a stream that goes on. */
    void begin(RequestId request, ResponseHead head, std::optional<std::size_t> length);
    void write(RequestId request, std::string_view bytes);
    void complete(RequestId request);
    /** Gives an answer of our own. */
    void refuse(RequestId request, const Failure& failure);
    /** Ends an answer so that it is visibly incomplete. */
    void cut(RequestId request);
    /** @return bytes that wait for the caller. */
    std::size_t queuedBytes(RequestId request) const;

private:
    enum class Phase : std::uint8_t {
        Head,
        Body,
        Answer,
        /** The last answer was written; what comes is not read. */
        Over,
    };

    struct Caller {
        std::string inbound;
        Phase phase { Phase::Head };
        std::optional<BodyDecoder> decoder;
        RequestHead head;
        std::string body;
        RequestId request;
        /** Start of the current phase. */
        Instant since;
    };

    void advance(ConnectionId connection);
    bool readHead(ConnectionId connection, Caller& caller);
    bool readBody(ConnectionId connection, Caller& caller);
    void accept(ConnectionId connection, Caller& caller);
    void reject(ConnectionId connection, Caller& caller, std::uint16_t status, const std::string& reason);
    void finishRequest(RequestId request);
    CallerRequest* mutableRequest(RequestId request);

    TrafficContext& context;
    CallerBounds bounds;
    std::map<ConnectionId, Caller> callers;
    std::map<RequestId, CallerRequest> requests;
    std::uint64_t lastRequest { 0 };
    bool stopping { false };
};

}
