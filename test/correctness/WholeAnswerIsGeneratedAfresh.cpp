#include "support/RouterBench.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("a whole answer survives the loss of its engine and holds one generation only")
{
    RouterBench bench({ "a-1", "a-2" });
    bench.connect("a-1");
    bench.connect("a-2");
    bench.complete("prompt");
    const auto [first, submitted] = bench.toAgents<SubmitGeneration>().front();
    bench.agent(first, GenerationTokens { submitted.generation, 0, { "lost ", "words" } });
    CHECK(bench.toAgents<AcknowledgeTokens>().back().second.nextIndex == 2);
    bench.clear();
    const Failure died { ErrorCode::EngineFailed, "engine died", Executed::Yes };
    bench.agent(first, GenerationFailed { submitted.generation, died });
    CHECK(bench.toCallers<CallerFailure>().empty());
    REQUIRE(bench.toAgents<SubmitGeneration>().size() == 1);
    const auto [second, again] = bench.toAgents<SubmitGeneration>().front();
    CHECK(second != first);
    CHECK(again.generation != submitted.generation);

    bench.agent(first, GenerationTokens { submitted.generation, 2, { " late" } });
    bench.agent(second, GenerationTokens { again.generation, 0, { "whole" } });
    bench.agent(second, GenerationFinished { again.generation, 1, FinishReason::Stop });
    REQUIRE(bench.toCallers<CallerCompletion>().size() == 1);
    CHECK(bench.toCallers<CallerCompletion>().front().text == "whole");
    CHECK(bench.toCallers<CallerCompletion>().front().generation == again.generation);
}
