#pragma once

#include "adapters/net/BoundedSession.h"

#include <Poco/Net/HTTPResponse.h>

#include <functional>
#include <istream>
#include <string_view>

namespace teaselfold {

/**
 * Receives the head of a final response, and skips the interim ones before it. POCO takes a head that ends with its
 * connection for a whole one, skips no interim response but 100, and accepts status lines of any form.
 * @return the stream of the body, for bodies that tell their own end. Others are received with `receiveBody`.
 * @throws Poco::Net::MessageException when the connection ended within the head, or the head is not one of HTTP/1.0 or
 * 1.1 with a status from 100 to 599, or it switches protocols.
 */
std::istream& receiveHead(BoundedSession& session, Poco::Net::HTTPResponse& response);

/**
 * Receives the body of a response. POCO takes malformed chunks for the end of a body, and what follows a body for the
 * next response.
 * @param append called with each part of the body; false ends the reading.
 * @return true if the body is whole: as long as its head declares, or up to the end of its last chunk and trailer, or,
 * when the head declares neither, up to the end of the connection.
 */
bool receiveBody(BoundedSession& session, const Poco::Net::HTTPResponse& response,
    const std::function<bool(std::string_view)>& append);

}
