#pragma once

#include "ports/CallerMessages.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <vector>

namespace teaselfold {

/** @return the headers that a plain service gets: all but those of the connection and the caller's token. */
std::vector<Header> forwardedHeaders(const Poco::Net::HTTPServerRequest& request);

/** Sends a plain service's answer unchanged, but for the headers of the connection. */
void sendServiceAnswer(Poco::Net::HTTPServerResponse& response, const CallerServiceResponse& answer);

}
