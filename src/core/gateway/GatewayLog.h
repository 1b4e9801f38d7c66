#pragma once

#include "core/gateway/GatewayState.h"

#include <string>
#include <string_view>

namespace teaselfold::Internal {

/** @return a log event with a request's id, route, configuration version and age. */
LogEvent requestLogEvent(std::string name, const ActiveRequest& active, Instant now);

/** @return the log event of a completed request; for a stream also with the latencies that its caller observed. */
LogEvent completedLogEvent(const ActiveRequest& active, Instant now);

/** @return the log event of a broken exchange: how far the request's run got at the endpoint, and its prompt's parts.
 */
LogEvent brokenExchangeLogEvent(const ActiveRequest& active, const Exchange& exchange, Instant now);

/**
 * @return the log event of a request that ends while its endpoint may still work on it: the endpoint, and how far the
 * run got there.
 */
LogEvent endedLogEvent(std::string name, const GatewayState& state, const ActiveRequest& active, Instant now);

/**
 * @return the log event of a stream that does not resume.
 * @param endpoint the engine with its copy.
 * @param reason why the stream does not resume there.
 */
LogEvent notResumedLogEvent(const GatewayState& state, const ActiveRequest& active, const EndpointId& endpoint,
    const std::string& reason, Instant now);

/** @return the log event of a completed stop, with the number of requests that ended in each way. */
LogEvent stopLogEvent(const PlannedStop& stop, Instant now);

/**
 * @return the log event of an endpoint that states another request rate limit than before.
 * @param requestsPerSecond unset if it states that it has none.
 * @param announcedBy how this gateway heard of it.
 */
LogEvent rateLimitLogEvent(
    const EndpointId& endpoint, std::optional<double> requestsPerSecond, const std::string& announcedBy);

/** @return the parts' ids in hexadecimal, separated by plus signs. */
std::string promptPartsText(const std::vector<PromptPartId>& parts);

/** Adds a metric observation for a request. @param value in the metric's unit; 1 for counters. */
void observe(
    GatewayActions& actions, const ActiveRequest& active, Metric metric, double value = 1, std::string label = {});

/** Adds the observations of a completed request: its duration, or the latencies and the length of a stream. */
void observeCompleted(GatewayActions& actions, const ActiveRequest& active, Instant now);

/** @return the duration in whole milliseconds as text. */
std::string millisecondsText(Duration duration);

/** @return the name of a section of the store. */
std::string_view sectionName(StoreSection section);

}
