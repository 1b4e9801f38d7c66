#pragma once

#include "core/gateway/GatewayState.h"

#include <string>

namespace teaselfold::Internal {

/** @return a line about a request that names it, its route and its age. */
LogEvent requestLine(std::string name, const ActiveRequest& active, Instant now);

/** @return the number as text. */
std::string millisecondsText(Duration duration);

}
