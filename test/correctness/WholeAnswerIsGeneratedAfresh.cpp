#include "support/RouterHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("a whole answer survives the loss of its engine and holds one generation only")
{
    RouterHarness harness({ "a-1", "a-2" });
    harness.connect("a-1");
    harness.connect("a-2");
    harness.complete("prompt");
    const auto [first, submitted] = harness.toAgents<SubmitGeneration>().front();
    harness.agent(first, GenerationTokens { submitted.generation, 0, { "lost ", "words" } });
    CHECK(harness.toAgents<AcknowledgeTokens>().back().second.nextIndex == 2);
    harness.clear();
    const Failure died { ErrorCode::EngineFailed, "engine died", Run::Yes };
    harness.agent(first, GenerationFailed { submitted.generation, died });
    CHECK(harness.toCallers<CallerFailure>().empty());
    REQUIRE(harness.toAgents<SubmitGeneration>().size() == 1);
    const auto [second, again] = harness.toAgents<SubmitGeneration>().front();
    CHECK(second != first);
    CHECK(again.generation != submitted.generation);

    harness.agent(first, GenerationTokens { submitted.generation, 2, { " late" } });
    harness.agent(second, GenerationTokens { again.generation, 0, { "whole" } });
    harness.agent(second, GenerationFinished { again.generation, 1, FinishReason::Stop });
    REQUIRE(harness.toCallers<CallerCompletion>().size() == 1);
    CHECK(harness.toCallers<CallerCompletion>().front().text == "whole");
    CHECK(harness.toCallers<CallerCompletion>().front().generation == again.generation);
}
