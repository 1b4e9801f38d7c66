#pragma once

#include "ports/Fleet.h"
#include "ports/Time.h"

#include <Poco/Net/HTTPClientSession.h>

#include <memory>
#include <string>

namespace teaselfold::Internal {

/** @return the time as POCO takes it. */
Poco::Timespan timespanOf(Milliseconds time);

/**
 * Opens a connection for one request.
 * @param connectLimit longest wait for the connection.
 * @param receiveLimit longest silence of the peer afterwards.
 * @return the session; null when there is no connection, so that nothing was sent.
 */
std::unique_ptr<Poco::Net::HTTPClientSession> openConnection(
    const Address& address, Milliseconds connectLimit, Milliseconds receiveLimit);

/** A whole answer, or its absence. */
struct HttpAnswer {
    /** False when the peer did not answer wholly. */
    bool whole { false };
    std::uint16_t status { 0 };
    std::string body;
};

/** Sends a request on a connection of its own and reads the whole answer. */
HttpAnswer exchange(const Address& address, Milliseconds limit, const std::string& method, const std::string& path,
    const std::string& body);

}
