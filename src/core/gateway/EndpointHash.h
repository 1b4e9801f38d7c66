#pragma once

#include "core/entry/Rendezvous.h"
#include "ports/Ids.h"

#include <cstdint>

namespace teaselfold {

/** @return the lower 32 bits of the hash of an endpoint's id, which identify the endpoint in gossip. */
inline std::uint32_t endpointHashOf(const EndpointId& endpoint)
{
    return static_cast<std::uint32_t>(hashOf(endpoint.get()));
}

}
