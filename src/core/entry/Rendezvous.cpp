#include "core/entry/Rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace teaselfold {

std::uint64_t hashOf(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

std::uint64_t rendezvousWeight(std::uint64_t key, const EndpointId& endpoint)
{
    return XXH3_64bits_withSeed(endpoint.get().data(), endpoint.get().size(), key);
}

std::vector<EndpointId> rendezvousOrder(std::uint64_t key, std::vector<EndpointId> endpoints, std::size_t limit)
{
    std::vector<std::pair<std::uint64_t, EndpointId>> weighted;
    weighted.reserve(endpoints.size());
    for (EndpointId& id : endpoints) {
        const std::uint64_t weight = rendezvousWeight(key, id);
        weighted.emplace_back(weight, std::move(id));
    }
    const std::size_t kept = std::min(limit, weighted.size());
    std::ranges::partial_sort(weighted, weighted.begin() + static_cast<std::ptrdiff_t>(kept), std::greater<> {});
    weighted.resize(kept);
    std::vector<EndpointId> order;
    order.reserve(weighted.size());
    for (auto& [weight, id] : weighted)
        order.push_back(std::move(id));
    return order;
}

}
