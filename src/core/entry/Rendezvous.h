#pragma once

#include "ports/Ids.h"

#include <string_view>
#include <vector>

namespace teaselfold {

/** @return the XXH3 hash of a text, which is the same in every process. */
std::uint64_t hashOf(std::string_view text);

/** @return the weight of an endpoint for a key. Higher weights rank first; the greater id breaks ties. */
std::uint64_t rendezvousWeight(std::uint64_t key, const EndpointId& endpoint);

/**
 * Ranks endpoints for a key by rendezvous hashing, so that few change rank when the set changes.
 * @param key the hash that determines the ranking.
 * @param limit the maximum number of endpoints to return.
 * @return the highest-ranked endpoints, best first.
 */
std::vector<EndpointId> rendezvousOrder(std::uint64_t key, std::vector<EndpointId> endpoints, std::size_t limit);

}
