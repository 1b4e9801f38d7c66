#pragma once

#include "adapters/http/CallerContext.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>

#include <optional>
#include <string>

namespace teaselfold {

/** The team that a caller acts for, and the time left to answer its request. */
struct AuthenticatedCaller {
    TeamId team;
    Milliseconds budget { 0 };
};

/** One HTTP request at the callers' port and the router messages that answer it. */
class CallerExchange {
public:
    CallerExchange(
        CallerContext& context, Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
    /** Reports a disconnect to the router if a submitted request was not marked complete. */
    ~CallerExchange();
    CallerExchange(const CallerExchange&) = delete;
    CallerExchange& operator=(const CallerExchange&) = delete;

    /** Checks the team header, the deadline header and the bearer token. @return the caller, or the failure to send. */
    Outcome<AuthenticatedCaller> authenticate() const;
    /**
     * @return the complete body; TooLarge if it exceeds the limit; NoCapacity if there is no memory for it beside those
     * of other requests; BadRequest if it was truncated.
     */
    Outcome<std::string> readBody();
    /** Opens the ring for the router's messages. @param capacity its size in messages. @return the request's id. */
    RequestId openRing(std::size_t capacity);
    /** Sends an event to the router. @return false if its ring is full, in which case nothing is executed. */
    bool submit(RouterEvent event);
    /** Reports to the router that all tokens below the index were written to the connection. */
    void reportConsumed(std::uint32_t nextIndex);
    /** Waits for the next message. @return nothing if the caller disconnected or its ring was closed on overflow. */
    std::optional<CallerMessage> waitForMessage();
    /** Records that the router sent its last message, so that no disconnect is reported. */
    void markComplete() { this->complete = true; }

    /** Responds with an error body and the status of its code. */
    void sendFailure(const Failure& failure);
    /** Responds with a JSON body. */
    void sendJson(const std::string& body);

    Poco::Net::HTTPServerRequest& request;
    Poco::Net::HTTPServerResponse& response;

private:
    bool isDisconnected();
    /** Reads a body into memory that is released with this exchange. @return the failure, if it was not taken whole. */
    std::optional<Failure> readInto(std::string& body, std::size_t limit);

    CallerContext& context;
    std::optional<CallerRegistry::Registration> registration;
    Poco::Net::StreamSocket socket;
    std::size_t bodyBytesTaken { 0 };
    bool submitted { false };
    bool complete { false };
};

/** @return the failure to send when the router's ring is full. */
Failure makeQueueFullFailure();

}
