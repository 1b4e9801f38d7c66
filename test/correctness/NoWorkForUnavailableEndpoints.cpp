#include "support/RouterHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

ServiceOrder outOfServiceOrder(OrderSubject subject)
{
    return { std::move(subject), 1, true, OrderId("order"), "operator", "test", false };
}

std::string onlyTarget(const RouterHarness& harness)
{
    const auto sent = harness.sentToAgents<SubmitGeneration>();
    return sent.size() == 1 ? sent.front().first : "none";
}

}

TEST_CASE("the entry's own zone is preferred, and another zone serves when it is out of service")
{
    RouterHarness harness({ "a-1", "b-1" });
    harness.connect("a-1");
    harness.connect("b-1");
    harness.requestCompletion("one");
    CHECK(onlyTarget(harness) == "a-1");
    harness.send(OrdersChanged { { outOfServiceOrder(ZoneId("zone-a")) } });
    harness.clear();
    harness.requestCompletion("two");
    CHECK(onlyTarget(harness) == "b-1");
}

TEST_CASE("an endpoint that is out of service, leaving, listed as leaving or withdrawn gets no new work")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    SUBCASE("out of service by order") { harness.send(OrdersChanged { { outOfServiceOrder(EndpointId("a-1")) } }); }
    SUBCASE("its agent reports that it is leaving")
    {
        LoadReport report = RouterHarness::reportWithCapacity(8);
        report.leaving = true;
        harness.deliverFromAgent("a-1", report);
    }
    SUBCASE("the instance list marks it as leaving") { harness.send(InstancesListed { { { { "a-1", true } } } }); }
    SUBCASE("withdrawn from the configuration")
    {
        harness.fleet.version = ReleaseVersion(2);
        harness.fleet.endpoints.erase(EndpointId("a-1"));
        harness.send(FleetChanged { harness.fleet });
    }
    harness.clear();
    harness.requestCompletion("late");
    CHECK(harness.sentToAgents<SubmitGeneration>().empty());
    REQUIRE(harness.sentToCallers<CallerFailure>().size() == 1);
    CHECK(harness.sentToCallers<CallerFailure>().front().failure.run == Executed::No);
    CHECK(harness.sentToCallers<CallerFailure>().front().failure.retryAfter > Milliseconds(0));
}

TEST_CASE("an older configuration does not replace a newer one")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    Fleet older = harness.fleet;
    older.version = ReleaseVersion();
    older.endpoints.clear();
    harness.send(FleetChanged { older });
    harness.requestCompletion("still");
    CHECK(onlyTarget(harness) == "a-1");
}
