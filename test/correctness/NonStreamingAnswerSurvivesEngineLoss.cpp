#include "support/RouterHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("a non-streaming answer survives the loss of its engine and holds text of one generation only")
{
    RouterHarness harness({ "a-1", "a-2" });
    harness.connect("a-1");
    harness.connect("a-2");
    harness.requestCompletion("prompt");
    const auto [first, submitted] = harness.sentToAgents<SubmitGeneration>().front();
    harness.deliverFromAgent(first, GenerationTokens { submitted.generation, 0, { "lost ", "words" } });
    CHECK(harness.sentToAgents<AcknowledgeTokens>().back().second.nextIndex == 2);
    harness.clear();
    const Failure died { ErrorCode::EngineFailed, "engine died", Executed::Yes };
    harness.deliverFromAgent(first, GenerationFailed { submitted.generation, died });
    CHECK(harness.sentToCallers<CallerFailure>().empty());
    REQUIRE(harness.sentToAgents<SubmitGeneration>().size() == 1);
    const auto [second, retried] = harness.sentToAgents<SubmitGeneration>().front();
    CHECK(second != first);
    CHECK(retried.generation != submitted.generation);

    harness.deliverFromAgent(first, GenerationTokens { submitted.generation, 2, { " late" } });
    harness.deliverFromAgent(second, GenerationTokens { retried.generation, 0, { "whole" } });
    harness.deliverFromAgent(second, GenerationFinished { retried.generation, 1, FinishReason::Stop });
    REQUIRE(harness.sentToCallers<CallerCompletion>().size() == 1);
    CHECK(harness.sentToCallers<CallerCompletion>().front().text == "whole");
    CHECK(harness.sentToCallers<CallerCompletion>().front().generation == retried.generation);
}
