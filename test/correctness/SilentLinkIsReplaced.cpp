#include "support/RouterBench.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("a silent link is replaced by a new one and its stream goes on at the next index")
{
    RouterBench bench({ "a-1" });
    bench.connect("a-1");
    bench.complete("prompt", true);
    const GenerationId generation = bench.toAgents<SubmitGeneration>().front().second.generation;
    bench.agent("a-1", GenerationTokens { generation, 0, { "0" } });
    bench.clear();
    bench.advance(Milliseconds(3200));
    CHECK(bench.count<OpenLink>() > 0);
    CHECK(bench.toCallers<CallerFailure>().empty());
    bench.clear();
    bench.connect("a-1");
    REQUIRE(bench.toAgents<ResumeGeneration>().size() == 1);
    CHECK(bench.toAgents<ResumeGeneration>().front().second == ResumeGeneration { generation, TeamId("team"), 1 });
    bench.agent("a-1", GenerationTokens { generation, 1, { "1" } });
    CHECK(bench.toCallers<CallerTokens>().back().firstIndex == 1);
}

TEST_CASE("without contact the work is lost after a time, and cancelled when the endpoint is back")
{
    RouterBench bench({ "a-1" });
    bench.connect("a-1");
    bench.complete("prompt", true);
    const GenerationId generation = bench.toAgents<SubmitGeneration>().front().second.generation;
    bench.agent("a-1", GenerationTokens { generation, 0, { "0" } });
    bench.send(LinkDown { EndpointId("a-1") });
    CHECK(bench.toCallers<CallerFailure>().empty());
    bench.advance(Seconds(5));
    REQUIRE(bench.toCallers<CallerFailure>().size() == 1);
    CHECK(bench.toCallers<CallerFailure>().front().failure.run == Executed::Yes);
    bench.clear();
    bench.connect("a-1");
    CHECK(bench.toAgents<CancelGeneration>().size() == 1);
}

TEST_CASE("a stream is resumed at an entry that never saw it, over a link opened for it")
{
    RouterBench bench({ "a-1" });
    const StreamResumeRequest resume { RequestId(77), TeamId("team"), { EndpointId("a-1"), GenerationId(900) }, 5,
        Seconds(60) };
    bench.send(resume);
    bench.connect("a-1");
    REQUIRE(bench.toAgents<ResumeGeneration>().size() == 1);
    CHECK(
        bench.toAgents<ResumeGeneration>().front().second == ResumeGeneration { GenerationId(900), TeamId("team"), 5 });
    bench.agent("a-1", GenerationTokens { GenerationId(900), 5, { "5" } });
    bench.agent("a-1", GenerationFinished { GenerationId(900), 6, FinishReason::Length });
    CHECK(bench.toCallers<CallerTokens>().front().firstIndex == 5);
    CHECK(bench.toCallers<CallerFinished>().size() == 1);
}
