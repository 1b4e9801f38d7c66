#include "support/RouterBench.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("a team's limit and a service's limit refuse as not run, with a time to wait")
{
    RouterBench bench({ "a-1" });
    SUBCASE("team") { bench.fleet.teams[TeamId("team")].maxInProgress = 1; }
    SUBCASE("service") { bench.fleet.services[ServiceId("writers")].bulkhead = 1; }
    bench.fleet.version = ReleaseVersion(2);
    bench.send(FleetChanged { bench.fleet });
    bench.connect("a-1");
    bench.complete("one");
    bench.complete("two");
    CHECK(bench.toAgents<SubmitGeneration>().size() == 1);
    REQUIRE(bench.toCallers<CallerFailure>().size() == 1);
    CHECK(bench.toCallers<CallerFailure>().front().failure.run == Executed::No);
    CHECK(bench.toCallers<CallerFailure>().front().failure.retryAfter > Milliseconds(0));
}
