// Orders of roll-outs that cannot be carried out: they must be answered with a state that is true, and no request may
// be lost.

#include "support/RolloutFleet.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

RolloutOrdersRead orderOf(const std::string& target, Milliseconds duration)
{
    return { { { ServiceId("plain"), SoftwareVersion(target), duration } }, {} };
}

}

TEST_CASE("a roll-out to a version that does not exist stays in progress and is reverted at its deadline")
{
    RolloutFleet::Options options;
    options.startsEndpoints = false;
    RolloutFleet fleet(options);
    fleet.advance(Milliseconds(2000));
    fleet.order();
    fleet.advanceTo(Milliseconds(10000));
    REQUIRE(fleet.state());
    CHECK(*fleet.state() == RolloutState::InProgress);
    fleet.advanceTo(Milliseconds(12000));
    CHECK(*fleet.state() == RolloutState::Reverted);
    CHECK(fleet.requestsToNew() == 0);
    CHECK(fleet.refused() == 0);
}

TEST_CASE("an order without a usable duration is reverted at once")
{
    RolloutFleet::Options options;
    RolloutFleet fleet(options);
    fleet.advance(Milliseconds(2000));
    fleet.setOrders(orderOf("v2", Milliseconds(0)));
    fleet.advance(Milliseconds(1000));
    REQUIRE(fleet.state());
    CHECK(*fleet.state() == RolloutState::Reverted);
    fleet.advance(Milliseconds(3000));
    CHECK(fleet.requestsToNew() == 0);
    CHECK(fleet.refused() == 0);
}

TEST_CASE("an order that is written twice is carried out once")
{
    RolloutFleet fleet(RolloutFleet::Options {});
    fleet.advance(Milliseconds(2000));
    fleet.order();
    fleet.advanceTo(Milliseconds(4000));
    fleet.setOrders(orderOf("v2", Milliseconds(12000)));
    fleet.finish();
    CHECK(fleet.states().size() == 2);
    CHECK(*fleet.state() == RolloutState::Completed);
    fleet.setOrders(orderOf("v2", Milliseconds(12000)));
    fleet.advance(Milliseconds(3000));
    CHECK(fleet.states().size() == 2);
    CHECK(fleet.misrouted() == 0);
}

TEST_CASE("an order that is withdrawn is reverted")
{
    RolloutFleet fleet(RolloutFleet::Options {});
    fleet.advance(Milliseconds(2000));
    fleet.order();
    fleet.advanceTo(Milliseconds(4000));
    fleet.setOrders({});
    fleet.advance(Milliseconds(1000));
    CHECK(*fleet.state() == RolloutState::Reverted);
    const std::size_t toNew = fleet.requestsToNew();
    fleet.advance(Milliseconds(1000));
    CHECK(fleet.requestsToNew() == toNew);
}

TEST_CASE("an order to the version that serves already is completed and changes nothing")
{
    RolloutFleet::Options options;
    options.startsEndpoints = false;
    RolloutFleet fleet(options);
    fleet.advance(Milliseconds(2000));
    fleet.setOrders(orderOf("v1", Milliseconds(12000)));
    fleet.advance(Milliseconds(1000));
    REQUIRE(fleet.state());
    CHECK(*fleet.state() == RolloutState::Completed);
    CHECK(fleet.refused() == 0);
}

TEST_CASE("a service without requests is not rolled out on silence")
{
    RolloutFleet::Options options;
    options.requestsPerSecond = 0;
    RolloutFleet fleet(options);
    fleet.advance(Milliseconds(2000));
    fleet.order();
    fleet.finish();
    REQUIRE(fleet.state());
    CHECK(*fleet.state() == RolloutState::Reverted);
}
