#pragma once

#include "ports/Ids.h"

#include <string_view>
#include <vector>

namespace teaselfold {

/** @return the XXH3 hash of a text; the same in every process. */
std::uint64_t hashOf(std::string_view text);

/** @return the weight of an endpoint in a key's order; the highest comes first, of equal ones the greater id. */
std::uint64_t rendezvousWeight(std::uint64_t key, const EndpointId& endpoint);

/**
 * Orders endpoints by rendezvous hashing, so that few change place when the set changes.
 * @param key whose order it is.
 * @param limit how many to keep.
 * @return the first endpoints in the key's order.
 */
std::vector<EndpointId> rendezvousOrder(std::uint64_t key, std::vector<EndpointId> endpoints, std::size_t limit);

}
