#include "core/entry/Rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace teaselfold {

std::uint64_t hashOf(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

std::vector<EndpointId> rendezvousOrder(std::uint64_t key, std::vector<EndpointId> endpoints, std::size_t limit)
{
    std::vector<std::pair<std::uint64_t, EndpointId>> weighted;
    weighted.reserve(endpoints.size());
    for (EndpointId& id : endpoints) {
        const std::uint64_t weight = XXH3_64bits_withSeed(id.get().data(), id.get().size(), key);
        weighted.emplace_back(weight, std::move(id));
    }
    std::ranges::sort(weighted, std::greater<> {});
    weighted.resize(std::min(limit, weighted.size()));
    std::vector<EndpointId> order;
    order.reserve(weighted.size());
    for (auto& [weight, id] : weighted)
        order.push_back(std::move(id));
    return order;
}

}
