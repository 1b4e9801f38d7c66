#include "support/RouterHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("a caller that takes nothing is given a bounded number of tokens, and the rest once it takes them")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    const RequestId request = harness.complete("prompt", true);
    const GenerationId generation = harness.toAgents<SubmitGeneration>().front().second.generation;
    const std::uint32_t window = RouterLimits().callerWindow;
    for (std::uint32_t index = 0; index < window + 10; ++index)
        harness.agent("a-1", GenerationTokens { generation, index, { "t" } });
    CHECK(harness.toCallers<CallerTokens>().size() == window);
    CHECK(harness.toAgents<ResumeGeneration>().empty());
    harness.send(CallerConsumed { request, window });
    CHECK(harness.toAgents<AcknowledgeTokens>().back().second.nextIndex == window);
    REQUIRE(harness.toAgents<ResumeGeneration>().size() == 1);
    CHECK(harness.toAgents<ResumeGeneration>().front().second.nextIndex == window);
}
