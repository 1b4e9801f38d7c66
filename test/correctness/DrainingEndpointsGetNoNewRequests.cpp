#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("An endpoint that drains, is removed or changes its service gets no new requests")
{
    GatewayScenario scenario;
    scenario.start();
    CHECK(scenario.endpointsUsed(12).size() == 3);
    EndpointRecord draining = GatewayScenario::plainEndpoint("p4");
    draining.isDraining = true;
    EndpointRecord moved = GatewayScenario::plainEndpoint("p6");
    moved.service = ServiceId("other");
    scenario.handle(EndpointsChanged { { draining, moved }, { EndpointId("p5") } });
    CHECK(scenario.endpointsUsed(12).empty());
}

TEST_CASE("Endpoints in a zone that is out of service get no requests until the zone is back")
{
    GatewayScenario scenario;
    scenario.start().handle(OutOfServiceZonesRead { { ZoneId("north") } });
    CHECK(scenario.endpointsUsed(6).empty());
    scenario.handle(OutOfServiceZonesRead {});
    CHECK(scenario.endpointsUsed(6).size() == 3);
}

TEST_CASE("Endpoints whose records expire during an outage of the store are kept for the grace period after it")
{
    GatewayScenario scenario;
    scenario.start()
        .handle(StoreReadFailed { StoreSection::Endpoints, "down" })
        .advance(Milliseconds(2000))
        .refreshFromStore();
    scenario.handle(EndpointsListed { { GatewayScenario::plainEndpoint("p4") } });
    CHECK(scenario.endpointsUsed(12).size() == 3);
    scenario.advance(Milliseconds(2050)).refreshFromStore();
    CHECK(scenario.endpointsUsed(12) == std::set { EndpointId("p4") });
}

TEST_CASE("An endpoint whose record is removed while the store is available gets no new requests")
{
    GatewayScenario scenario;
    scenario.start().handle(EndpointsListed { { GatewayScenario::plainEndpoint("p4") } });
    CHECK(scenario.endpointsUsed(12) == std::set { EndpointId("p4") });
}
