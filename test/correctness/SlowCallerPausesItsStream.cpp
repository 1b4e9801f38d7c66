#include "support/RouterHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("a caller that takes no tokens is sent at most one window of them, and the rest once it has taken those")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    const RequestId request = harness.requestCompletion("prompt", true);
    const GenerationId generation = harness.sentToAgents<SubmitGeneration>().front().second.generation;
    const std::uint32_t window = RouterLimits().callerWindow;
    for (std::uint32_t index = 0; index < window + 10; ++index)
        harness.deliverFromAgent("a-1", GenerationTokens { generation, index, { "t" } });
    CHECK(harness.sentToCallers<CallerTokens>().size() == window);
    CHECK(harness.sentToAgents<ResumeGeneration>().empty());
    harness.send(CallerConsumed { request, window });
    CHECK(harness.sentToAgents<AcknowledgeTokens>().back().second.nextIndex == window);
    REQUIRE(harness.sentToAgents<ResumeGeneration>().size() == 1);
    CHECK(harness.sentToAgents<ResumeGeneration>().front().second.nextIndex == window);
}
