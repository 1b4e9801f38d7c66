#pragma once

#include "ports/Outcome.h"

#include <string>

namespace teaselfold {

/** @return the JSON body of an error answer: `{"error": {"code", "message", "run"}}`. */
std::string encodeErrorBody(const Failure& failure);

/** @return the value of `Retry-After`, rounded up to whole seconds; empty when a retry is pointless. */
std::string encodeRetryAfter(Milliseconds retryAfter);

}
