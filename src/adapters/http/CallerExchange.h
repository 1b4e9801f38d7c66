#pragma once

#include "adapters/http/CallerContext.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>

#include <optional>
#include <string>

namespace teaselfold {

/** Who calls, and how long the answer may take. */
struct CallerIdentity {
    TeamId team;
    Milliseconds budget { 0 };
};

/** One HTTP request at the callers' port and the messages that answer it. */
class CallerExchange {
public:
    CallerExchange(
        CallerContext& context, Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
    /** Tells the router that the caller left, unless the last message was delivered. */
    ~CallerExchange();
    CallerExchange(const CallerExchange&) = delete;
    CallerExchange& operator=(const CallerExchange&) = delete;

    /** @return the caller, checked; or a refusal. */
    Outcome<CallerIdentity> identify() const;
    /** @return the whole body; or TooLarge, or BadRequest when it was cut off. */
    Outcome<std::string> readBody();
    /** Opens the ring for the answer. @param capacity messages that may wait. @return the id to post under. */
    RequestId open(std::size_t capacity);
    /** Hands an event to the router. @return false when its ring is full; nothing will run. */
    bool post(RouterEvent event);
    /** Tells the router up to which index the connection took tokens. */
    void consumed(std::uint32_t nextIndex);
    /** Waits for the next message. @return nothing when the caller left or its ring overflowed. */
    std::optional<CallerMessage> next();
    /** The last message reached the caller. */
    void close() { this->closed = true; }

    /** Answers with an error body and its status. */
    void sendFailure(const Failure& failure);
    /** Answers with a JSON body. */
    void sendJson(const std::string& body);

    Poco::Net::HTTPServerRequest& request;
    Poco::Net::HTTPServerResponse& response;

private:
    bool callerLeft();

    CallerContext& context;
    std::optional<CallerRegistry::Registration> registration;
    Poco::Net::StreamSocket socket;
    bool posted { false };
    bool closed { false };
};

/** @return the refusal for a caller when the router's ring is full. */
Failure routerBusy();

}
