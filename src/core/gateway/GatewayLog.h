#pragma once

#include "core/gateway/GatewayState.h"

#include <string>

namespace teaselfold::Internal {

/** @return a line about a request that names it, its route and its age. */
LogEvent requestLine(std::string name, const ActiveRequest& active, Instant now);

/** @return the line of a request whose answer is complete; for streams with the times that its caller saw. */
LogEvent completedLine(const ActiveRequest& active, Instant now);

/** Adds an observation about a request. @param value in the metric's unit; counters observe 1. */
void observe(
    GatewayActions& actions, const ActiveRequest& active, Metric metric, double value = 1, std::string label = {});

/** Observes how a complete answer was: its duration, and for streams the first event and the longest pause. */
void observeCompleted(GatewayActions& actions, const ActiveRequest& active, Instant now);

/** @return the number as text. */
std::string millisecondsText(Duration duration);

}
