#include "support/RouterHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

const Failure engineDied { ErrorCode::EngineFailed, "engine died", Run::Yes };

/** Starts a stream that has shown one token, then loses its engine. */
std::pair<std::string, GenerationId> loseEngine(RouterHarness& harness, OnEngineLoss choice)
{
    harness.connect("a-1");
    harness.connect("a-2");
    harness.complete("prompt", true, choice);
    const auto [endpoint, submitted] = harness.toAgents<SubmitGeneration>().front();
    harness.agent(endpoint, GenerationTokens { submitted.generation, 0, { "x" } });
    harness.clear();
    harness.agent(endpoint, GenerationFailed { submitted.generation, engineDied });
    return { endpoint, submitted.generation };
}

}

TEST_CASE("a shown stream fails with the truth when its engine is lost")
{
    RouterHarness harness;
    loseEngine(harness, OnEngineLoss::Fail);
    CHECK(harness.toAgents<SubmitGeneration>().empty());
    REQUIRE(harness.toCallers<CallerFailure>().size() == 1);
    CHECK(harness.toCallers<CallerFailure>().front().failure.run == Run::Yes);
}

TEST_CASE("a shown stream restarts at index 0 when its caller chose so")
{
    RouterHarness harness;
    const auto [endpoint, old] = loseEngine(harness, OnEngineLoss::Restart);
    REQUIRE(harness.toAgents<SubmitGeneration>().size() == 1);
    REQUIRE(harness.toCallers<CallerRestart>().size() == 1);
    const auto [other, again] = harness.toAgents<SubmitGeneration>().front();
    CHECK(harness.toCallers<CallerRestart>().front().token.generation == again.generation);
    harness.agent(endpoint, GenerationTokens { old, 1, { "late" } });
    CHECK(harness.toCallers<CallerTokens>().empty());
    harness.agent(other, GenerationTokens { again.generation, 0, { "y" } });
    REQUIRE(harness.toCallers<CallerTokens>().size() == 1);
    CHECK(harness.toCallers<CallerTokens>().front().firstIndex == 0);
}

TEST_CASE("a stream that showed nothing is generated elsewhere without a restart")
{
    RouterHarness harness({ "a-1", "a-2" });
    harness.connect("a-1");
    harness.connect("a-2");
    harness.complete("prompt", true);
    const auto [endpoint, submitted] = harness.toAgents<SubmitGeneration>().front();
    harness.clear();
    harness.agent(endpoint, GenerationFailed { submitted.generation, engineDied });
    CHECK(harness.toAgents<SubmitGeneration>().size() == 1);
    CHECK(harness.toCallers<CallerRestart>().empty());
}

TEST_CASE("gaps are asked for again and repeats are dropped")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    harness.complete("prompt", true);
    const GenerationId generation = harness.toAgents<SubmitGeneration>().front().second.generation;
    harness.agent("a-1", GenerationTokens { generation, 0, { "0", "1" } });
    harness.agent("a-1", GenerationTokens { generation, 4, { "4" } });
    REQUIRE(harness.toAgents<ResumeGeneration>().size() == 1);
    CHECK(harness.toAgents<ResumeGeneration>().front().second.nextIndex == 2);
    harness.agent("a-1", GenerationFinished { generation, 4, FinishReason::Stop });
    CHECK(harness.toCallers<CallerFinished>().empty());
    harness.agent("a-1", GenerationTokens { generation, 1, { "1", "2", "3" } });
    const auto shown = harness.toCallers<CallerTokens>();
    REQUIRE(shown.size() == 2);
    CHECK(shown.back().firstIndex == 2);
    CHECK(shown.back().texts == std::vector<std::string> { "2", "3" });
    harness.agent("a-1", GenerationFinished { generation, 4, FinishReason::Stop });
    CHECK(harness.toCallers<CallerFinished>().size() == 1);
}
