#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

#include <set>

using namespace teaselfold;

namespace {

std::set<EndpointId> used(GatewayScenario& scenario, int requests)
{
    std::set<EndpointId> endpoints;
    for (int request = 0; request < requests; ++request) {
        scenario.forget();
        scenario.arrive("/write/1");
        if (scenario.take<StartExchange>())
            endpoints.insert(scenario.lastOrder()->endpoint);
    }
    return endpoints;
}

}

TEST_CASE("A draining, removed or moved endpoint gets nothing more")
{
    GatewayScenario scenario;
    scenario.start();
    CHECK(used(scenario, 12).size() == 3);
    EndpointRecord draining = GatewayScenario::plain("p4");
    draining.isDraining = true;
    EndpointRecord moved = GatewayScenario::plain("p6");
    moved.service = ServiceId("other");
    scenario.give(EndpointsChanged { { draining, moved }, { EndpointId("p5") } });
    CHECK(used(scenario, 12).empty());
}

TEST_CASE("A zone out of service gets nothing until it is taken back")
{
    GatewayScenario scenario;
    scenario.start().give(OutOfServiceZonesRead { { ZoneId("north") } });
    CHECK(used(scenario, 6).empty());
    scenario.give(OutOfServiceZonesRead {});
    CHECK(used(scenario, 6).size() == 3);
}

TEST_CASE("Records that lapse while the store is away are kept until their endpoints had time to write again")
{
    GatewayScenario scenario;
    scenario.start().give(StoreReadFailed { StoreSection::Endpoints, "down" }).pass(Milliseconds(2000)).storeAnswers();
    scenario.give(EndpointsListed { { GatewayScenario::plain("p4") } });
    CHECK(used(scenario, 12).size() == 3);
    scenario.pass(Milliseconds(2050)).storeAnswers();
    CHECK(used(scenario, 12) == std::set { EndpointId("p4") });
}

TEST_CASE("A record that is removed while the store is well is gone at once")
{
    GatewayScenario scenario;
    scenario.start().give(EndpointsListed { { GatewayScenario::plain("p4") } });
    CHECK(used(scenario, 12) == std::set { EndpointId("p4") });
}
