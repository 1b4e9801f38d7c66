#include "support/ControlScript.h"

#include <doctest/doctest.h>

using namespace teaselfold;
using namespace teaselfold::test;

namespace {

const ZoneId zone("kgl-a");

void makeFleet(ControlScript& script)
{
    script.pass(Seconds(1));
    script.publish(zoneNote("note-a", 0, zone.get()));
}

ServiceOrder inForce(ControlScript& script) { return script.view().orders.at(0); }

}

TEST_CASE("an order given in an outage is in force at once and recorded when the table answers")
{
    MemoryPlatform platform;
    ControlScript script("entry-1", platform);
    makeFleet(script);
    script.weather = Weather::Down;
    const auto answer = script.order(zone, true);
    CHECK_FALSE(std::get<OrderAccepted>(*answer).order.recorded);
    REQUIRE(script.routerOrders.size() == 1);
    CHECK(script.routerOrders[0].out);

    script.pass(Seconds(60));
    CHECK(inForce(script).out);
    script.weather = Weather::Answers;
    script.pass(Seconds(1));
    CHECK(inForce(script).recorded);
    CHECK(platform.rows.contains("order/zone/kgl-a"));
}

TEST_CASE("an order whose recording lost its answer is recognised as recorded")
{
    MemoryPlatform platform;
    ControlScript script("entry-1", platform);
    makeFleet(script);
    script.weather = Weather::LosesAnswers;
    script.order(zone, true);
    script.weather = Weather::Answers;
    script.pass(Seconds(1));
    CHECK(inForce(script).recorded);
    CHECK(platform.rows.at("order/zone/kgl-a").version == 1);
}

TEST_CASE("an order that its entry could not record is recorded by an entry that heard of it")
{
    MemoryPlatform platform;
    ControlScript lost("entry-1", platform);
    makeFleet(lost);
    lost.weather = Weather::Down;
    lost.order(zone, true);
    ControlScript heir("entry-2", platform);
    heir.pass(Seconds(1));
    heir.send(PeerUpdate { EndpointId("drafter-1"), OrdersDelivery { lost.view().orders } });
    CHECK(inForce(heir).out);
    heir.pass(Seconds(6));
    CHECK(inForce(heir).recorded);
    CHECK(platform.rows.contains("order/zone/kgl-a"));
}

TEST_CASE("of racing operators out wins the tie and the loser is told")
{
    MemoryPlatform platform;
    ControlScript taker("entry-1", platform, 100);
    ControlScript giver("entry-2", platform, 200);
    makeFleet(taker);
    giver.pass(Seconds(2));
    taker.order(zone, true);
    const auto lost = giver.order(zone, false);
    CHECK(std::get<OrderSuperseded>(*lost).winner.out);

    taker.pass(Seconds(2));
    giver.pass(Seconds(2));
    CHECK(inForce(taker) == inForce(giver));
    const auto back = giver.order(zone, false);
    CHECK(std::get<OrderAccepted>(*back).order.recorded);
    taker.pass(Seconds(2));
    CHECK_FALSE(inForce(taker).out);
}

TEST_CASE("an order for an unknown zone is refused")
{
    MemoryPlatform platform;
    ControlScript script("entry-1", platform);
    makeFleet(script);
    CHECK(std::get<Failure>(*script.order(ZoneId("nowhere"), true)).code == ErrorCode::NotFound);
}
