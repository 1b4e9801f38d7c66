#include "support/RouterHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("a silent link is replaced by a new one and its stream goes on at the next index")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    harness.complete("prompt", true);
    const GenerationId generation = harness.toAgents<SubmitGeneration>().front().second.generation;
    harness.agent("a-1", GenerationTokens { generation, 0, { "0" } });
    harness.clear();
    harness.advance(Milliseconds(3200));
    CHECK(harness.count<OpenLink>() > 0);
    CHECK(harness.toCallers<CallerFailure>().empty());
    harness.clear();
    harness.connect("a-1");
    REQUIRE(harness.toAgents<ResumeGeneration>().size() == 1);
    CHECK(harness.toAgents<ResumeGeneration>().front().second == ResumeGeneration { generation, TeamId("team"), 1 });
    harness.agent("a-1", GenerationTokens { generation, 1, { "1" } });
    CHECK(harness.toCallers<CallerTokens>().back().firstIndex == 1);
}

TEST_CASE("without contact the work is lost after a time, and cancelled when the endpoint is back")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    harness.complete("prompt", true);
    const GenerationId generation = harness.toAgents<SubmitGeneration>().front().second.generation;
    harness.agent("a-1", GenerationTokens { generation, 0, { "0" } });
    harness.send(LinkDown { EndpointId("a-1") });
    CHECK(harness.toCallers<CallerFailure>().empty());
    harness.advance(Seconds(5));
    REQUIRE(harness.toCallers<CallerFailure>().size() == 1);
    CHECK(harness.toCallers<CallerFailure>().front().failure.run == Run::Yes);
    harness.clear();
    harness.connect("a-1");
    CHECK(harness.toAgents<CancelGeneration>().size() == 1);
}

TEST_CASE("a stream is resumed at an entry that never saw it, over a link opened for it")
{
    RouterHarness harness({ "a-1" });
    const StreamResumeRequest resume { RequestId(77), TeamId("team"), { EndpointId("a-1"), GenerationId(900) }, 5,
        Seconds(60) };
    harness.send(resume);
    harness.connect("a-1");
    REQUIRE(harness.toAgents<ResumeGeneration>().size() == 1);
    CHECK(harness.toAgents<ResumeGeneration>().front().second
        == ResumeGeneration { GenerationId(900), TeamId("team"), 5 });
    harness.agent("a-1", GenerationTokens { GenerationId(900), 5, { "5" } });
    harness.agent("a-1", GenerationFinished { GenerationId(900), 6, FinishReason::Length });
    CHECK(harness.toCallers<CallerTokens>().front().firstIndex == 5);
    CHECK(harness.toCallers<CallerFinished>().size() == 1);
}
