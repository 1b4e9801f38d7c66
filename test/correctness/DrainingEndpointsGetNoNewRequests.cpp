#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

#include <set>

using namespace teaselfold;

namespace {

/** @return the endpoints that the given number of new requests are sent to. */
std::set<EndpointId> endpointsUsed(GatewayScenario& scenario, int requests)
{
    std::set<EndpointId> endpoints;
    for (int request = 0; request < requests; ++request) {
        scenario.clearActions();
        scenario.arrive("/write/1");
        if (scenario.lastAction<StartExchange>())
            endpoints.insert(scenario.lastOrder()->endpoint);
    }
    return endpoints;
}

}

TEST_CASE("An endpoint that drains, is removed or changes its service gets no new requests")
{
    GatewayScenario scenario;
    scenario.start();
    CHECK(endpointsUsed(scenario, 12).size() == 3);
    EndpointRecord draining = GatewayScenario::plain("p4");
    draining.isDraining = true;
    EndpointRecord moved = GatewayScenario::plain("p6");
    moved.service = ServiceId("other");
    scenario.handle(EndpointsChanged { { draining, moved }, { EndpointId("p5") } });
    CHECK(endpointsUsed(scenario, 12).empty());
}

TEST_CASE("Endpoints in a zone that is out of service get no requests until the zone is back")
{
    GatewayScenario scenario;
    scenario.start().handle(OutOfServiceZonesRead { { ZoneId("north") } });
    CHECK(endpointsUsed(scenario, 6).empty());
    scenario.handle(OutOfServiceZonesRead {});
    CHECK(endpointsUsed(scenario, 6).size() == 3);
}

TEST_CASE("Records that lapse during an outage of the store are kept for the grace period after it")
{
    GatewayScenario scenario;
    scenario.start()
        .handle(StoreReadFailed { StoreSection::Endpoints, "down" })
        .advance(Milliseconds(2000))
        .answerFromStore();
    scenario.handle(EndpointsListed { { GatewayScenario::plain("p4") } });
    CHECK(endpointsUsed(scenario, 12).size() == 3);
    scenario.advance(Milliseconds(2050)).answerFromStore();
    CHECK(endpointsUsed(scenario, 12) == std::set { EndpointId("p4") });
}

TEST_CASE("A record that is removed while the store is available is dropped at once")
{
    GatewayScenario scenario;
    scenario.start().handle(EndpointsListed { { GatewayScenario::plain("p4") } });
    CHECK(endpointsUsed(scenario, 12) == std::set { EndpointId("p4") });
}
