#include "support/RouterBench.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

const Failure engineDied { ErrorCode::EngineFailed, "engine died", Executed::Yes };

/** Starts a stream that has shown one token, then loses its engine. */
std::pair<std::string, GenerationId> loseEngine(RouterBench& bench, OnEngineLoss choice)
{
    bench.connect("a-1");
    bench.connect("a-2");
    bench.complete("prompt", true, choice);
    const auto [endpoint, submitted] = bench.toAgents<SubmitGeneration>().front();
    bench.agent(endpoint, GenerationTokens { submitted.generation, 0, { "x" } });
    bench.clear();
    bench.agent(endpoint, GenerationFailed { submitted.generation, engineDied });
    return { endpoint, submitted.generation };
}

}

TEST_CASE("a shown stream fails with the truth when its engine is lost")
{
    RouterBench bench;
    loseEngine(bench, OnEngineLoss::Fail);
    CHECK(bench.toAgents<SubmitGeneration>().empty());
    REQUIRE(bench.toCallers<CallerFailure>().size() == 1);
    CHECK(bench.toCallers<CallerFailure>().front().failure.run == Executed::Yes);
}

TEST_CASE("a shown stream restarts at index 0 when its caller chose so")
{
    RouterBench bench;
    const auto [endpoint, old] = loseEngine(bench, OnEngineLoss::Restart);
    REQUIRE(bench.toAgents<SubmitGeneration>().size() == 1);
    REQUIRE(bench.toCallers<CallerRestart>().size() == 1);
    const auto [other, again] = bench.toAgents<SubmitGeneration>().front();
    CHECK(bench.toCallers<CallerRestart>().front().token.generation == again.generation);
    bench.agent(endpoint, GenerationTokens { old, 1, { "late" } });
    CHECK(bench.toCallers<CallerTokens>().empty());
    bench.agent(other, GenerationTokens { again.generation, 0, { "y" } });
    REQUIRE(bench.toCallers<CallerTokens>().size() == 1);
    CHECK(bench.toCallers<CallerTokens>().front().firstIndex == 0);
}

TEST_CASE("a stream that showed nothing is generated elsewhere without a restart")
{
    RouterBench bench({ "a-1", "a-2" });
    bench.connect("a-1");
    bench.connect("a-2");
    bench.complete("prompt", true);
    const auto [endpoint, submitted] = bench.toAgents<SubmitGeneration>().front();
    bench.clear();
    bench.agent(endpoint, GenerationFailed { submitted.generation, engineDied });
    CHECK(bench.toAgents<SubmitGeneration>().size() == 1);
    CHECK(bench.toCallers<CallerRestart>().empty());
}

TEST_CASE("gaps are asked for again and repeats are dropped")
{
    RouterBench bench({ "a-1" });
    bench.connect("a-1");
    bench.complete("prompt", true);
    const GenerationId generation = bench.toAgents<SubmitGeneration>().front().second.generation;
    bench.agent("a-1", GenerationTokens { generation, 0, { "0", "1" } });
    bench.agent("a-1", GenerationTokens { generation, 4, { "4" } });
    REQUIRE(bench.toAgents<ResumeGeneration>().size() == 1);
    CHECK(bench.toAgents<ResumeGeneration>().front().second.nextIndex == 2);
    bench.agent("a-1", GenerationFinished { generation, 4, FinishReason::Stop });
    CHECK(bench.toCallers<CallerFinished>().empty());
    bench.agent("a-1", GenerationTokens { generation, 1, { "1", "2", "3" } });
    const auto shown = bench.toCallers<CallerTokens>();
    REQUIRE(shown.size() == 2);
    CHECK(shown.back().firstIndex == 2);
    CHECK(shown.back().texts == std::vector<std::string> { "2", "3" });
    bench.agent("a-1", GenerationFinished { generation, 4, FinishReason::Stop });
    CHECK(bench.toCallers<CallerFinished>().size() == 1);
}
