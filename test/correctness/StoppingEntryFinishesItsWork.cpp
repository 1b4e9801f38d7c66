#include "support/RouterBench.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("a stopping entry refuses new work, finishes what runs, and is drained once")
{
    RouterBench bench({ "a-1" });
    bench.connect("a-1");
    const RequestId request = bench.complete("running", true);
    const GenerationId generation = bench.toAgents<SubmitGeneration>().front().second.generation;
    bench.send(RouterStopRequested {});
    bench.send(RouterStopRequested {});
    CHECK_FALSE(bench.router->ready());
    CHECK(bench.count<RouterDrained>() == 0);
    bench.complete("new");
    REQUIRE(bench.toCallers<CallerFailure>().size() == 1);
    CHECK(bench.toCallers<CallerFailure>().front().failure.code == ErrorCode::Stopping);
    CHECK(bench.toCallers<CallerFailure>().front().failure.run == Executed::No);
    bench.agent("a-1", GenerationTokens { generation, 0, { "t" } });
    bench.agent("a-1", GenerationFinished { generation, 1, FinishReason::Stop });
    bench.send(RouterTick {});
    CHECK(bench.toCallers<CallerFinished>().size() == 1);
    CHECK(bench.count<RouterDrained>() == 0);
    bench.send(CallerConsumed { request, 1 });
    CHECK(bench.toAgents<AcknowledgeTokens>().size() == 1);
    bench.send(RouterTick {});
    CHECK(bench.count<RouterDrained>() == 1);
}

TEST_CASE("a caller that left has its generation cancelled")
{
    RouterBench bench({ "a-1" });
    bench.connect("a-1");
    const RequestId request = bench.complete("prompt", true);
    bench.send(CallerDisconnected { request });
    CHECK(bench.toAgents<CancelGeneration>().size() == 1);
    CHECK(bench.router->inProgress() == 0);
}
