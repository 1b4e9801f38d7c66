#pragma once

#include "ports/CallerMessages.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <vector>

namespace teaselfold {

/**
 * @return the headers to forward to a plain service, without hop-by-hop headers and the caller's token; a failure when
 * one of them cannot be written as it was decoded.
 */
Outcome<std::vector<Header>> forwardedHeaders(const Poco::Net::HTTPServerRequest& request);

/** Sends a plain service's response, whose headers are filtered like those of a request. */
void sendServiceResponse(Poco::Net::HTTPServerResponse& response, const CallerServiceResponse& serviceResponse);

}
