#include "support/RouterHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("a silent link is replaced and its stream resumes at the next token index")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    harness.requestCompletion("prompt", true);
    const GenerationId generation = harness.sentToAgents<SubmitGeneration>().front().second.generation;
    harness.deliverFromAgent("a-1", GenerationTokens { generation, 0, { "0" } });
    harness.clear();
    harness.advance(Milliseconds(3200));
    CHECK(harness.count<OpenLink>() > 0);
    CHECK(harness.sentToCallers<CallerFailure>().empty());
    harness.clear();
    harness.connect("a-1");
    REQUIRE(harness.sentToAgents<ResumeGeneration>().size() == 1);
    CHECK(
        harness.sentToAgents<ResumeGeneration>().front().second == ResumeGeneration { generation, TeamId("team"), 1 });
    harness.deliverFromAgent("a-1", GenerationTokens { generation, 1, { "1" } });
    CHECK(harness.sentToCallers<CallerTokens>().back().firstIndex == 1);
}

TEST_CASE("work at an unreachable endpoint is lost after the loss timeout and cancelled on reconnection")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    harness.requestCompletion("prompt", true);
    const GenerationId generation = harness.sentToAgents<SubmitGeneration>().front().second.generation;
    harness.deliverFromAgent("a-1", GenerationTokens { generation, 0, { "0" } });
    harness.send(LinkDown { EndpointId("a-1") });
    CHECK(harness.sentToCallers<CallerFailure>().empty());
    harness.advance(Seconds(5));
    REQUIRE(harness.sentToCallers<CallerFailure>().size() == 1);
    CHECK(harness.sentToCallers<CallerFailure>().front().failure.run == Executed::Yes);
    harness.clear();
    harness.connect("a-1");
    CHECK(harness.sentToAgents<CancelGeneration>().size() == 1);
}

TEST_CASE("a stream that another entry started is resumed over a link opened for it")
{
    RouterHarness harness({ "a-1" });
    const StreamResumeRequest resume { RequestId(77), TeamId("team"), { EndpointId("a-1"), GenerationId(900) }, 5,
        Seconds(60) };
    harness.send(resume);
    harness.connect("a-1");
    REQUIRE(harness.sentToAgents<ResumeGeneration>().size() == 1);
    CHECK(harness.sentToAgents<ResumeGeneration>().front().second
        == ResumeGeneration { GenerationId(900), TeamId("team"), 5 });
    harness.deliverFromAgent("a-1", GenerationTokens { GenerationId(900), 5, { "5" } });
    harness.deliverFromAgent("a-1", GenerationFinished { GenerationId(900), 6, FinishReason::Length });
    CHECK(harness.sentToCallers<CallerTokens>().front().firstIndex == 5);
    CHECK(harness.sentToCallers<CallerFinished>().size() == 1);
}
