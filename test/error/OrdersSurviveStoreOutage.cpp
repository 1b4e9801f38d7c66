#include "support/ControlHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;
using namespace teaselfold::test;

namespace {

const ZoneId zone("kgl-a");

void publishZone(ControlHarness& harness)
{
    harness.advanceTime(Seconds(1));
    harness.publish(zoneNote("note-a", 0, zone.get()));
}

ServiceOrder orderInForce(ControlHarness& harness) { return harness.view().orders.at(0); }

}

TEST_CASE("an order issued in an outage takes effect at once and is recorded when the table answers again")
{
    MemoryPlatform platform;
    ControlHarness harness("entry-1", platform);
    publishZone(harness);
    harness.fault = PlatformFault::Unavailable;
    const auto answer = harness.order(zone, true);
    CHECK_FALSE(std::get<OrderAccepted>(*answer).order.recorded);
    REQUIRE(harness.routerOrders.size() == 1);
    CHECK(harness.routerOrders[0].out);

    harness.advanceTime(Seconds(60));
    CHECK(orderInForce(harness).out);
    harness.fault = PlatformFault::None;
    harness.advanceTime(Seconds(1));
    CHECK(orderInForce(harness).recorded);
    CHECK(platform.rows.contains("order/zone/kgl-a"));
}

TEST_CASE("an order whose write took effect but whose reply was lost is recognized as recorded")
{
    MemoryPlatform platform;
    ControlHarness harness("entry-1", platform);
    publishZone(harness);
    harness.fault = PlatformFault::ReplyLost;
    harness.order(zone, true);
    harness.fault = PlatformFault::None;
    harness.advanceTime(Seconds(1));
    CHECK(orderInForce(harness).recorded);
    CHECK(platform.rows.at("order/zone/kgl-a").version == 1);
}

TEST_CASE("an order that its entry could not record is recorded by an entry that got it from a peer")
{
    MemoryPlatform platform;
    ControlHarness failing("entry-1", platform);
    publishZone(failing);
    failing.fault = PlatformFault::Unavailable;
    failing.order(zone, true);
    ControlHarness successor("entry-2", platform);
    successor.advanceTime(Seconds(1));
    successor.send(PeerUpdate { EndpointId("drafter-1"), OrdersDelivery { failing.view().orders } });
    CHECK(orderInForce(successor).out);
    successor.advanceTime(Seconds(6));
    CHECK(orderInForce(successor).recorded);
    CHECK(platform.rows.contains("order/zone/kgl-a"));
}

TEST_CASE("of concurrent orders with equal sequence numbers, out of service wins and the other is superseded")
{
    MemoryPlatform platform;
    ControlHarness remover("entry-1", platform, 100);
    ControlHarness restorer("entry-2", platform, 200);
    publishZone(remover);
    restorer.advanceTime(Seconds(2));
    remover.order(zone, true);
    const auto superseded = restorer.order(zone, false);
    CHECK(std::get<OrderSuperseded>(*superseded).winner.out);

    remover.advanceTime(Seconds(2));
    restorer.advanceTime(Seconds(2));
    CHECK(orderInForce(remover) == orderInForce(restorer));
    const auto restored = restorer.order(zone, false);
    CHECK(std::get<OrderAccepted>(*restored).order.recorded);
    remover.advanceTime(Seconds(2));
    CHECK_FALSE(orderInForce(remover).out);
}

TEST_CASE("an order for an unknown zone is refused")
{
    MemoryPlatform platform;
    ControlHarness harness("entry-1", platform);
    publishZone(harness);
    CHECK(std::get<Failure>(*harness.order(ZoneId("nowhere"), true)).code == ErrorCode::NotFound);
}
