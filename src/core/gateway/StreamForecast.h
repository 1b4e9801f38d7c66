#pragma once

#include "core/gateway/GatewayState.h"

namespace teaselfold {

/** @return the tokens that a stream is expected to produce from now on. */
std::uint64_t expectedRemainingTokens(const ActiveRequest& active);

/** @return the time until a stream in progress is expected to end, at the pace of its engine. */
Duration expectedRemainingTime(const GatewayState& state, const ActiveRequest& active);

/** @return the time that a new stream is expected to take, at the average pace of its service's engines. */
Duration expectedStreamTime(const GatewayState& state, const ActiveRequest& active);

}
