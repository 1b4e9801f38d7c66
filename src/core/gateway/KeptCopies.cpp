#include "core/gateway/KeptCopies.h"

#include <algorithm>

namespace teaselfold {

namespace {

    /** Engines free copies that no run uses after some seconds, so that more would be of no use. */
    constexpr std::size_t maxCopies = 4;

}

void KeptCopies::add(KeptCopy copy)
{
    std::erase_if(this->copies, [&](const KeptCopy& known) { return known.endpoint == copy.endpoint; });
    const auto isOlder
        = [](const KeptCopy& left, const KeptCopy& right) { return left.lastEventId < right.lastEventId; };
    this->copies.insert(std::upper_bound(this->copies.begin(), this->copies.end(), copy, isOlder), copy);
    if (this->copies.size() > maxCopies)
        this->copies.erase(this->copies.begin());
}

std::optional<KeptCopy> KeptCopies::takeNewest()
{
    if (this->copies.empty())
        return std::nullopt;
    KeptCopy newest = std::move(this->copies.back());
    this->copies.pop_back();
    return newest;
}

}
