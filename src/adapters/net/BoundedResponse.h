#pragma once

#include "adapters/net/BoundedSocket.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPResponse.h>

#include <functional>
#include <istream>
#include <string_view>

namespace teaselfold {

/**
 * Receives the head of a final response, and skips the interim ones before it. POCO takes a head that ends with its
 * connection for a whole one, skips no interim response but 100, and accepts status lines of any form.
 * @param socket the socket of the session.
 * @return the stream of the body.
 * @throws Poco::Net::MessageException when the connection ended within the head, or the head is not one of HTTP/1.0 or
 * 1.1 with a status from 100 to 599, or it switches protocols.
 */
std::istream& receiveHead(
    Poco::Net::HTTPClientSession& session, const BoundedSocket& socket, Poco::Net::HTTPResponse& response);

/**
 * Receives the body of a response. POCO takes chunks that end with their connection for all of them.
 * @param append called with each part of the body; false ends the reading.
 * @return true if the body is whole: as long as its head declares, or up to the last chunk, or, when the head declares
 * neither, up to the end of the connection.
 */
bool receiveBody(std::istream& stream, const BoundedSocket& socket, const Poco::Net::HTTPResponse& response,
    const std::function<bool(std::string_view)>& append);

}
