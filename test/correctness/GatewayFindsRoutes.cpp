#include "core/gateway/RouteTable.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

GatewayRoute route(const std::string& prefix, std::vector<WeightedService> services)
{
    GatewayRoute result;
    result.name = prefix;
    result.host = "host.example";
    result.prefix = prefix;
    result.services = std::move(services);
    return result;
}

RouteTable table(std::vector<GatewayRoute> routes)
{
    auto configuration = std::make_shared<GatewayConfiguration>();
    configuration->routes = std::move(routes);
    return RouteTable(configuration);
}

}

TEST_CASE("A path is routed by the longest matching prefix of its host")
{
    const RouteTable routes = table({ route("/a/", {}), route("/a/b/", {}), route("/c/", {}) });
    CHECK(routes.findRoute("host.example", "/a/x")->prefix == "/a/");
    CHECK(routes.findRoute("host.example", "/a/b/x")->prefix == "/a/b/");
    CHECK(routes.findRoute("host.example", "/a/bc/x")->prefix == "/a/");
    CHECK(routes.findRoute("host.example", "/d/") == nullptr);
    CHECK(routes.findRoute("other.example", "/a/") == nullptr);
}

TEST_CASE("A traffic split follows the weights and skips services with weight zero")
{
    const GatewayRoute split
        = route("/a/", { { ServiceId("large"), 90 }, { ServiceId("none"), 0 }, { ServiceId("small"), 10 } });
    constexpr std::uint64_t steps = 1000;
    int small = 0;
    for (std::uint64_t step = 0; step < steps; ++step) {
        const ServiceId* chosen = RouteTable::chooseService(split, UINT64_MAX / steps * step);
        REQUIRE(chosen);
        CHECK(chosen->get() != "none");
        small += chosen->get() == "small" ? 1 : 0;
    }
    CHECK(small == 100);
}
