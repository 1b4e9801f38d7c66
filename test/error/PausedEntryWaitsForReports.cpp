#include "support/RouterHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("an entry that was paused sends no work before new connections gave fresh reports")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    harness.clear();
    harness.now += Seconds(30);
    harness.complete("early");
    CHECK(harness.toAgents<SubmitGeneration>().empty());
    CHECK(harness.toCallers<CallerFailure>().size() == 1);
    CHECK(harness.count<OpenLink>() > 0);
    harness.agent("a-1", RouterHarness::reportWithCapacity(8));
    harness.complete("still early");
    CHECK(harness.toAgents<SubmitGeneration>().empty());
    harness.connect("a-1");
    harness.complete("fresh");
    CHECK(harness.toAgents<SubmitGeneration>().size() == 1);
}

TEST_CASE("an agent that comes back with another incarnation has lost its work")
{
    RouterHarness harness({ "a-1", "a-2" });
    harness.connect("a-1");
    harness.connect("a-2");
    harness.complete("prompt");
    const auto [endpoint, submitted] = harness.toAgents<SubmitGeneration>().front();
    harness.send(LinkDown { EndpointId(endpoint) });
    harness.clear();
    harness.connect(endpoint, RouterHarness::reportWithCapacity(8), 2);
    REQUIRE(harness.toAgents<SubmitGeneration>().size() == 1);
    CHECK(harness.toAgents<SubmitGeneration>().front().first != endpoint);
    harness.agent(endpoint, GenerationUnknown { submitted.generation });
    CHECK(harness.toAgents<SubmitGeneration>().size() == 1);
}
