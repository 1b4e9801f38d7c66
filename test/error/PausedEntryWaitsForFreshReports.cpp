#include "support/RouterHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("an entry that was paused sends no work until new connections have delivered fresh reports")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    harness.clear();
    harness.now += Seconds(30);
    harness.requestCompletion("early");
    CHECK(harness.sentToAgents<SubmitGeneration>().empty());
    CHECK(harness.sentToCallers<CallerFailure>().size() == 1);
    CHECK(harness.count<OpenLink>() > 0);
    harness.deliverFromAgent("a-1", RouterHarness::reportWithCapacity(8));
    harness.requestCompletion("still early");
    CHECK(harness.sentToAgents<SubmitGeneration>().empty());
    harness.connect("a-1");
    harness.requestCompletion("fresh");
    CHECK(harness.sentToAgents<SubmitGeneration>().size() == 1);
}

TEST_CASE("work at an agent that reconnects with another incarnation is lost and retried elsewhere")
{
    RouterHarness harness({ "a-1", "a-2" });
    harness.connect("a-1");
    harness.connect("a-2");
    harness.requestCompletion("prompt");
    const auto [endpoint, submitted] = harness.sentToAgents<SubmitGeneration>().front();
    harness.send(LinkDown { EndpointId(endpoint) });
    harness.clear();
    harness.connect(endpoint, RouterHarness::reportWithCapacity(8), 2);
    REQUIRE(harness.sentToAgents<SubmitGeneration>().size() == 1);
    CHECK(harness.sentToAgents<SubmitGeneration>().front().first != endpoint);
    harness.deliverFromAgent(endpoint, GenerationUnknown { submitted.generation });
    CHECK(harness.sentToAgents<SubmitGeneration>().size() == 1);
}
