#include "support/RouterBench.h"

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
    RouterBench bench({ "a-1" });
    bench.connect("a-1");
    bench.complete("prompt");
    const auto [endpoint, lost] = bench.toAgents<SubmitGeneration>().front();
    bench.clear();
    bench.agent(
        endpoint, GenerationFailed { lost.generation, { ErrorCode::EngineFailed, "engine died", Executed::Yes } });
    bench.advance(Milliseconds(200));
    bench.agent(endpoint, leavingReport());
    bench.advance(Milliseconds(200));
    CHECK(bench.toAgents<SubmitGeneration>().empty());
    CHECK(bench.toCallers<CallerFailure>().empty());

    bench.agent(endpoint, RouterBench::roomFor(1));
    bench.advance(Milliseconds(200));
    REQUIRE(bench.toAgents<SubmitGeneration>().size() == 1);
    const auto [again, submitted] = bench.toAgents<SubmitGeneration>().front();
    bench.agent(again, GenerationTokens { submitted.generation, 0, { "whole" } });
    bench.agent(again, GenerationFinished { submitted.generation, 1, FinishReason::Stop });
    REQUIRE(bench.toCallers<CallerCompletion>().size() == 1);
    CHECK(bench.toCallers<CallerCompletion>().front().text == "whole");
}
