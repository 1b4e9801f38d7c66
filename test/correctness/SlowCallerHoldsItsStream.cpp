#include "support/RouterBench.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("a caller that takes nothing is given a bounded number of tokens, and the rest once it takes them")
{
    RouterBench bench({ "a-1" });
    bench.connect("a-1");
    const RequestId request = bench.complete("prompt", true);
    const GenerationId generation = bench.toAgents<SubmitGeneration>().front().second.generation;
    const std::uint32_t window = RouterLimits().callerWindow;
    for (std::uint32_t index = 0; index < window + 10; ++index)
        bench.agent("a-1", GenerationTokens { generation, index, { "t" } });
    CHECK(bench.toCallers<CallerTokens>().size() == window);
    CHECK(bench.toAgents<ResumeGeneration>().empty());
    bench.send(CallerConsumed { request, window });
    CHECK(bench.toAgents<AcknowledgeTokens>().back().second.nextIndex == window);
    REQUIRE(bench.toAgents<ResumeGeneration>().size() == 1);
    CHECK(bench.toAgents<ResumeGeneration>().front().second.nextIndex == window);
}
