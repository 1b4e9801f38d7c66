#pragma once

#include "adapters/net/BoundedSession.h"
#include "ports/Fleet.h"
#include "ports/Time.h"

#include <memory>
#include <string>

namespace teaselfold::Internal {

/** @return the duration as a POCO time span. */
Poco::Timespan toTimespan(Milliseconds time);

/**
 * Opens a connection for one request.
 * @param socket an unconnected socket, by which the request can be cancelled.
 * @param connectTimeout limit of the connection attempt.
 * @param receiveTimeout limit of each send and receive on the connection.
 * @param budget limit of the time and the bytes of the whole response.
 * @return the session; null if the connection could not be established, and then nothing was sent.
 */
std::unique_ptr<BoundedSession> openConnection(BoundedSocket socket, const Address& address,
    Milliseconds connectTimeout, Milliseconds receiveTimeout, const ExchangeBudget& budget);

/** The outcome of one HTTP exchange. */
struct HttpExchangeResult {
    /** False when the exchange failed; the other members are then empty. */
    bool received { false };
    std::uint16_t status { 0 };
    std::string body;
};

/**
 * Sends a request on a new connection and reads the response, which has at most 1 MB.
 * @param socket an unconnected socket, by which the request can be cancelled.
 * @param timeout limit of the connection attempt, and of the exchange after it as a whole.
 */
HttpExchangeResult exchange(const BoundedSocket& socket, const Address& address, Milliseconds timeout,
    const std::string& method, const std::string& path, const std::string& body);

}
