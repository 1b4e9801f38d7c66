#pragma once

#include "ports/Outcome.h"

#include <string>

namespace teaselfold {

/** @return the JSON body of an error response: `{"error": {"code", "message", "run"}}`. */
std::string encodeErrorBody(const Failure& failure);

/** @return the value of `Retry-After`, rounded up to whole seconds; empty if the delay is not positive. */
std::string encodeRetryAfter(Milliseconds retryAfter);

}
