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

TEST_CASE("a request whose only endpoint was lost runs there once it accepts work again")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    harness.requestCompletion("prompt");
    const auto [endpoint, lost] = harness.sentToAgents<SubmitGeneration>().front();
    harness.clear();
    harness.deliverFromAgent(
        endpoint, GenerationFailed { lost.generation, { ErrorCode::EngineFailed, "engine died", Executed::Yes } });
    harness.advance(Milliseconds(200));
    harness.deliverFromAgent(endpoint, leavingReport());
    harness.advance(Milliseconds(200));
    CHECK(harness.sentToAgents<SubmitGeneration>().empty());
    CHECK(harness.sentToCallers<CallerFailure>().empty());

    harness.deliverFromAgent(endpoint, RouterHarness::reportWithCapacity(1));
    harness.advance(Milliseconds(200));
    REQUIRE(harness.sentToAgents<SubmitGeneration>().size() == 1);
    const auto [sameEndpoint, submitted] = harness.sentToAgents<SubmitGeneration>().front();
    harness.deliverFromAgent(sameEndpoint, GenerationTokens { submitted.generation, 0, { "whole" } });
    harness.deliverFromAgent(sameEndpoint, GenerationFinished { submitted.generation, 1, FinishReason::Stop });
    REQUIRE(harness.sentToCallers<CallerCompletion>().size() == 1);
    CHECK(harness.sentToCallers<CallerCompletion>().front().text == "whole");
}
