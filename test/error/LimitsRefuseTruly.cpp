#include "support/RouterHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("a team's limit and a service's limit refuse as not run, with a time to wait")
{
    RouterHarness harness({ "a-1" });
    SUBCASE("team") { harness.fleet.teams[TeamId("team")].maxInProgress = 1; }
    SUBCASE("service") { harness.fleet.services[ServiceId("writers")].bulkhead = 1; }
    harness.fleet.version = ReleaseVersion(2);
    harness.send(FleetChanged { harness.fleet });
    harness.connect("a-1");
    harness.complete("one");
    harness.complete("two");
    CHECK(harness.toAgents<SubmitGeneration>().size() == 1);
    REQUIRE(harness.toCallers<CallerFailure>().size() == 1);
    CHECK(harness.toCallers<CallerFailure>().front().failure.run == Run::No);
    CHECK(harness.toCallers<CallerFailure>().front().failure.retryAfter > Milliseconds(0));
}
