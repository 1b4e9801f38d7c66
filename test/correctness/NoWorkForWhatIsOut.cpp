#include "support/RouterBench.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

ServiceOrder outOrder(OrderSubject subject)
{
    return { std::move(subject), 1, true, OrderId("order"), "operator", "test", false };
}

std::string onlyTarget(const RouterBench& bench)
{
    const auto sent = bench.toAgents<SubmitGeneration>();
    return sent.size() == 1 ? sent.front().first : "none";
}

}

TEST_CASE("the own zone comes first, and another zone serves once it is out")
{
    RouterBench bench({ "a-1", "b-1" });
    bench.connect("a-1");
    bench.connect("b-1");
    bench.complete("one");
    CHECK(onlyTarget(bench) == "a-1");
    bench.send(OrdersChanged { { outOrder(ZoneId("zone-a")) } });
    bench.clear();
    bench.complete("two");
    CHECK(onlyTarget(bench) == "b-1");
}

TEST_CASE("an endpoint that is out, leaving, listed as leaving or withdrawn gets no new work")
{
    RouterBench bench({ "a-1" });
    bench.connect("a-1");
    SUBCASE("out by order") { bench.send(OrdersChanged { { outOrder(EndpointId("a-1")) } }); }
    SUBCASE("its agent reports that it leaves")
    {
        LoadReport report = RouterBench::roomFor(8);
        report.leaving = true;
        bench.agent("a-1", report);
    }
    SUBCASE("the instance list says that it leaves") { bench.send(InstancesListed { { { { "a-1", true } } } }); }
    SUBCASE("withdrawn")
    {
        bench.fleet.version = ReleaseVersion(2);
        bench.fleet.endpoints.erase(EndpointId("a-1"));
        bench.send(FleetChanged { bench.fleet });
    }
    bench.clear();
    bench.complete("late");
    CHECK(bench.toAgents<SubmitGeneration>().empty());
    REQUIRE(bench.toCallers<CallerFailure>().size() == 1);
    CHECK(bench.toCallers<CallerFailure>().front().failure.run == Executed::No);
    CHECK(bench.toCallers<CallerFailure>().front().failure.retryAfter > Milliseconds(0));
}

TEST_CASE("an older configuration is not taken back")
{
    RouterBench bench({ "a-1" });
    bench.connect("a-1");
    Fleet older = bench.fleet;
    older.version = ReleaseVersion();
    older.endpoints.clear();
    bench.send(FleetChanged { older });
    bench.complete("still");
    CHECK(onlyTarget(bench) == "a-1");
}
