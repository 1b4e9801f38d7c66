#include "core/common/ServiceOrders.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace teaselfold;

namespace {

ServiceOrder order(std::uint64_t sequence, bool out, const std::string& id, bool recorded = false)
{
    return { ZoneId("kgl-a"), sequence, out, OrderId(id), "an.operator", "", recorded };
}

}

TEST_CASE("merging the same service orders in any order gives the same result")
{
    std::vector<int> arrival { 0, 1, 2, 3 };
    const std::vector<ServiceOrder> given { order(1, true, "z"), order(2, false, "y"), order(2, true, "a"),
        order(2, true, "b", true) };
    do {
        ServiceOrders orders;
        for (const int index : arrival)
            orders.merge(given[static_cast<std::size_t>(index)]);
        CHECK(orders.all().at(0) == given[3]);
    } while (std::next_permutation(arrival.begin(), arrival.end()));
}

TEST_CASE("merging an unrecorded copy does not clear an order's recorded flag")
{
    ServiceOrders orders;
    CHECK(orders.merge(order(1, true, "a")));
    const std::uint64_t unrecordedDigest = orders.digest();
    CHECK(orders.merge(order(1, true, "a", true)));
    CHECK_FALSE(orders.merge(order(1, true, "a")));
    CHECK(orders.all().at(0).recorded);
    CHECK(orders.digest() != unrecordedDigest);
    CHECK(orders.isOutOfService(ZoneId("kgl-a")));
    CHECK_FALSE(orders.isOutOfService(EndpointId("kgl-a")));
}
