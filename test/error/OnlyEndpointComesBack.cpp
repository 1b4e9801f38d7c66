#include "support/RouterHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

LoadReport leavingReport()
{
    LoadReport report;
    report.leaving = true;
    return report;
}

}

TEST_CASE("a request whose only endpoint was lost runs there once it takes work again")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    harness.complete("prompt");
    const auto [endpoint, lost] = harness.toAgents<SubmitGeneration>().front();
    harness.clear();
    harness.agent(endpoint, GenerationFailed { lost.generation, { ErrorCode::EngineFailed, "engine died", Run::Yes } });
    harness.advance(Milliseconds(200));
    harness.agent(endpoint, leavingReport());
    harness.advance(Milliseconds(200));
    CHECK(harness.toAgents<SubmitGeneration>().empty());
    CHECK(harness.toCallers<CallerFailure>().empty());

    harness.agent(endpoint, RouterHarness::reportWithCapacity(1));
    harness.advance(Milliseconds(200));
    REQUIRE(harness.toAgents<SubmitGeneration>().size() == 1);
    const auto [again, submitted] = harness.toAgents<SubmitGeneration>().front();
    harness.agent(again, GenerationTokens { submitted.generation, 0, { "whole" } });
    harness.agent(again, GenerationFinished { submitted.generation, 1, FinishReason::Stop });
    REQUIRE(harness.toCallers<CallerCompletion>().size() == 1);
    CHECK(harness.toCallers<CallerCompletion>().front().text == "whole");
}
