#include "support/RouterHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("a stopping entry refuses new work, finishes what runs, and is drained once")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    const RequestId request = harness.complete("running", true);
    const GenerationId generation = harness.toAgents<SubmitGeneration>().front().second.generation;
    harness.send(StopRequested {});
    harness.send(StopRequested {});
    CHECK_FALSE(harness.router->ready());
    CHECK(harness.count<Drained>() == 0);
    harness.complete("new");
    REQUIRE(harness.toCallers<CallerFailure>().size() == 1);
    CHECK(harness.toCallers<CallerFailure>().front().failure.code == ErrorCode::Stopping);
    CHECK(harness.toCallers<CallerFailure>().front().failure.run == Run::No);
    harness.agent("a-1", GenerationTokens { generation, 0, { "t" } });
    harness.agent("a-1", GenerationFinished { generation, 1, FinishReason::Stop });
    harness.send(Tick {});
    CHECK(harness.toCallers<CallerFinished>().size() == 1);
    CHECK(harness.count<Drained>() == 0);
    harness.send(CallerConsumed { request, 1 });
    CHECK(harness.toAgents<AcknowledgeTokens>().size() == 1);
    harness.send(Tick {});
    CHECK(harness.count<Drained>() == 1);
}

TEST_CASE("a caller that left has its generation cancelled")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    const RequestId request = harness.complete("prompt", true);
    harness.send(CallerGone { request });
    CHECK(harness.toAgents<CancelGeneration>().size() == 1);
    CHECK(harness.router->inProgress() == 0);
}
