#pragma once

#include "core/gateway/GatewayState.h"

namespace teaselfold {

/** @return the tokens that a stream is expected to produce from now on. */
std::uint64_t expectedRemainingTokens(const ActiveRequest& active);

/** @return the tokens that the run of a stream holds in its engine's KV cache. */
std::uint64_t heldTokens(const ActiveRequest& active);

/** @return false if a stopping gateway may exit before a stream in progress is expected to end. */
bool endsBeforeStop(const GatewayState& state, const ActiveRequest& active, Instant now);

/** @return false if a stopping gateway may exit before a stream that resumes now at the endpoint produces an event. */
bool hasTimeForEventsBeforeStop(const GatewayState& state, const EndpointId& endpoint, Instant now);

/**
 * @return false if a stopping gateway should not send the request to an endpoint any more. During the drain delay after
 * a stop request, these are streams that may outlast it, if another gateway of the zone can serve them.
 * Later, a request's deadline counts; once the stop is complete, nothing is sent.
 */
bool mayStartInStop(const GatewayState& state, const ActiveRequest& active, Instant now);

/**
 * @return false if a request that is sent now would not end by its deadline even at the fastest engine, and with an
 * output that all but one in thirty exceed.
 */
bool canEndInTime(const GatewayState& state, const ActiveRequest& active, Instant now);

/** @return the time until a stream in progress is expected to end, at the pace of its engine. */
Duration expectedRemainingTime(const GatewayState& state, const ActiveRequest& active);

/** @return the time that a new stream takes with the longest allowed output at the slowest of its service's engines. */
Duration longestStreamTime(const GatewayState& state, const ActiveRequest& active);

}
