#pragma once

#include "ports/PeerMessages.h"

#include <cstddef>

namespace teaselfold {

/** Number of gateways up to which each prompt is told to all of them. */
constexpr std::size_t maxFullyInformedGateways = 24;

/**
 * Divides engines among gateways that are too many to tell all of them of each prompt. A gateway sends its prompts to
 * the engines that it prefers, and hears of the prompts that others send there. All gateways compute the same.
 * @param endpoint hash of the engine's id.
 * @param engineCount number of engines of the service.
 */
bool prefersEngine(const GatewayId& gateway, std::uint32_t endpoint, std::size_t engineCount);

}
