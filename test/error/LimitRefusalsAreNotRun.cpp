#include "support/RouterHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("refusals by a team's or a service's limit report the request as not run, with a retry delay")
{
    RouterHarness harness({ "a-1" });
    SUBCASE("team") { harness.fleet.teams[TeamId("team")].maxInProgress = 1; }
    SUBCASE("service") { harness.fleet.services[ServiceId("writers")].bulkhead = 1; }
    harness.fleet.version = ReleaseVersion(2);
    harness.send(FleetChanged { harness.fleet });
    harness.connect("a-1");
    harness.requestCompletion("one");
    harness.requestCompletion("two");
    CHECK(harness.sentToAgents<SubmitGeneration>().size() == 1);
    REQUIRE(harness.sentToCallers<CallerFailure>().size() == 1);
    CHECK(harness.sentToCallers<CallerFailure>().front().failure.run == Executed::No);
    CHECK(harness.sentToCallers<CallerFailure>().front().failure.retryAfter > Milliseconds(0));
}
