#pragma once

#include "adapters/traffic/HttpHeads.h"
#include "ports/Outcome.h"

namespace teaselfold {

/** An answer that no endpoint gave. */
struct OwnAnswer {
    ResponseHead head;
    std::string body;
    /** Head, length and body in one, for a connection that closes. */
    std::string bytes;
};

/** @return the answer for a request that was refused or failed. @param callerRequestId names the request in the body.
 */
OwnAnswer failureAnswer(const Failure& failure, const std::string& callerRequestId);
/** @return the answer to something that is no acceptable request; it closes the connection. */
OwnAnswer rejectionAnswer(std::uint16_t status, const std::string& reason);
/** @return a plain page, for probes and collectors. */
OwnAnswer pageAnswer(std::uint16_t status, const std::string& text);

}
