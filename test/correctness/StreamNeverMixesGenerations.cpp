#include "support/RouterHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

const Failure engineDied { ErrorCode::EngineFailed, "engine died", Executed::Yes };

/** Starts a stream, delivers one token to its caller and then fails its engine. */
std::pair<std::string, GenerationId> failEngineMidStream(RouterHarness& harness, OnEngineLoss choice)
{
    harness.connect("a-1");
    harness.connect("a-2");
    harness.requestCompletion("prompt", true, choice);
    const auto [endpoint, submitted] = harness.sentToAgents<SubmitGeneration>().front();
    harness.deliverFromAgent(endpoint, GenerationTokens { submitted.generation, 0, { "x" } });
    harness.clear();
    harness.deliverFromAgent(endpoint, GenerationFailed { submitted.generation, engineDied });
    return { endpoint, submitted.generation };
}

}

TEST_CASE("a stream that has delivered tokens fails and is reported as run when its engine is lost")
{
    RouterHarness harness;
    failEngineMidStream(harness, OnEngineLoss::Fail);
    CHECK(harness.sentToAgents<SubmitGeneration>().empty());
    REQUIRE(harness.sentToCallers<CallerFailure>().size() == 1);
    CHECK(harness.sentToCallers<CallerFailure>().front().failure.run == Executed::Yes);
}

TEST_CASE("a stream that has delivered tokens restarts at index 0 when its caller chose restart")
{
    RouterHarness harness;
    const auto [endpoint, lost] = failEngineMidStream(harness, OnEngineLoss::Restart);
    REQUIRE(harness.sentToAgents<SubmitGeneration>().size() == 1);
    REQUIRE(harness.sentToCallers<CallerRestart>().size() == 1);
    const auto [other, restarted] = harness.sentToAgents<SubmitGeneration>().front();
    CHECK(harness.sentToCallers<CallerRestart>().front().token.generation == restarted.generation);
    harness.deliverFromAgent(endpoint, GenerationTokens { lost, 1, { "late" } });
    CHECK(harness.sentToCallers<CallerTokens>().empty());
    harness.deliverFromAgent(other, GenerationTokens { restarted.generation, 0, { "y" } });
    REQUIRE(harness.sentToCallers<CallerTokens>().size() == 1);
    CHECK(harness.sentToCallers<CallerTokens>().front().firstIndex == 0);
}

TEST_CASE("a stream that has delivered no tokens is retried elsewhere without a restart")
{
    RouterHarness harness({ "a-1", "a-2" });
    harness.connect("a-1");
    harness.connect("a-2");
    harness.requestCompletion("prompt", true);
    const auto [endpoint, submitted] = harness.sentToAgents<SubmitGeneration>().front();
    harness.clear();
    harness.deliverFromAgent(endpoint, GenerationFailed { submitted.generation, engineDied });
    CHECK(harness.sentToAgents<SubmitGeneration>().size() == 1);
    CHECK(harness.sentToCallers<CallerRestart>().empty());
}

TEST_CASE("missing tokens are requested again and duplicates are dropped")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    harness.requestCompletion("prompt", true);
    const GenerationId generation = harness.sentToAgents<SubmitGeneration>().front().second.generation;
    harness.deliverFromAgent("a-1", GenerationTokens { generation, 0, { "0", "1" } });
    harness.deliverFromAgent("a-1", GenerationTokens { generation, 4, { "4" } });
    REQUIRE(harness.sentToAgents<ResumeGeneration>().size() == 1);
    CHECK(harness.sentToAgents<ResumeGeneration>().front().second.nextIndex == 2);
    harness.deliverFromAgent("a-1", GenerationFinished { generation, 4, FinishReason::Stop });
    CHECK(harness.sentToCallers<CallerFinished>().empty());
    harness.deliverFromAgent("a-1", GenerationTokens { generation, 1, { "1", "2", "3" } });
    const auto delivered = harness.sentToCallers<CallerTokens>();
    REQUIRE(delivered.size() == 2);
    CHECK(delivered.back().firstIndex == 2);
    CHECK(delivered.back().texts == std::vector<std::string> { "2", "3" });
    harness.deliverFromAgent("a-1", GenerationFinished { generation, 4, FinishReason::Stop });
    CHECK(harness.sentToCallers<CallerFinished>().size() == 1);
}
