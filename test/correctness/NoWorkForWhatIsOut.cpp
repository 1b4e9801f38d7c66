#include "support/RouterHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

ServiceOrder outOrder(OrderSubject subject)
{
    return { std::move(subject), 1, true, OrderId("order"), "operator", "test", false };
}

std::string onlyTarget(const RouterHarness& harness)
{
    const auto sent = harness.toAgents<SubmitGeneration>();
    return sent.size() == 1 ? sent.front().first : "none";
}

}

TEST_CASE("the own zone comes first, and another zone serves once it is out")
{
    RouterHarness harness({ "a-1", "b-1" });
    harness.connect("a-1");
    harness.connect("b-1");
    harness.complete("one");
    CHECK(onlyTarget(harness) == "a-1");
    harness.send(OrdersChanged { { outOrder(ZoneId("zone-a")) } });
    harness.clear();
    harness.complete("two");
    CHECK(onlyTarget(harness) == "b-1");
}

TEST_CASE("an endpoint that is out, leaving, listed as leaving or withdrawn gets no new work")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    SUBCASE("out by order") { harness.send(OrdersChanged { { outOrder(EndpointId("a-1")) } }); }
    SUBCASE("its agent reports that it leaves")
    {
        LoadReport report = RouterHarness::reportWithCapacity(8);
        report.leaving = true;
        harness.agent("a-1", report);
    }
    SUBCASE("the instance list says that it leaves") { harness.send(InstancesListed { { { { "a-1", true } } } }); }
    SUBCASE("withdrawn")
    {
        harness.fleet.version = ReleaseVersion(2);
        harness.fleet.endpoints.erase(EndpointId("a-1"));
        harness.send(FleetChanged { harness.fleet });
    }
    harness.clear();
    harness.complete("late");
    CHECK(harness.toAgents<SubmitGeneration>().empty());
    REQUIRE(harness.toCallers<CallerFailure>().size() == 1);
    CHECK(harness.toCallers<CallerFailure>().front().failure.run == Run::No);
    CHECK(harness.toCallers<CallerFailure>().front().failure.retryAfter > Milliseconds(0));
}

TEST_CASE("an older configuration is not taken back")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    Fleet older = harness.fleet;
    older.version = ReleaseVersion();
    older.endpoints.clear();
    harness.send(FleetChanged { older });
    harness.complete("still");
    CHECK(onlyTarget(harness) == "a-1");
}
