#include "support/RouterHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("a stopping entry refuses new work, finishes running requests and reports drained once")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    const RequestId request = harness.requestCompletion("running", true);
    const GenerationId generation = harness.sentToAgents<SubmitGeneration>().front().second.generation;
    harness.send(RouterStopRequested {});
    harness.send(RouterStopRequested {});
    CHECK_FALSE(harness.router->ready());
    CHECK(harness.count<RouterDrained>() == 0);
    harness.requestCompletion("new");
    REQUIRE(harness.sentToCallers<CallerFailure>().size() == 1);
    CHECK(harness.sentToCallers<CallerFailure>().front().failure.code == ErrorCode::Stopping);
    CHECK(harness.sentToCallers<CallerFailure>().front().failure.run == Executed::No);
    harness.deliverFromAgent("a-1", GenerationTokens { generation, 0, { "t" } });
    harness.deliverFromAgent("a-1", GenerationFinished { generation, 1, FinishReason::Stop });
    harness.send(RouterTick {});
    CHECK(harness.sentToCallers<CallerFinished>().size() == 1);
    CHECK(harness.count<RouterDrained>() == 0);
    harness.send(CallerConsumed { request, 1 });
    CHECK(harness.sentToAgents<AcknowledgeTokens>().size() == 1);
    harness.send(RouterTick {});
    CHECK(harness.count<RouterDrained>() == 1);
}

TEST_CASE("the generation of a caller that disconnected is cancelled")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    const RequestId request = harness.requestCompletion("prompt", true);
    harness.send(CallerDisconnected { request });
    CHECK(harness.sentToAgents<CancelGeneration>().size() == 1);
    CHECK(harness.router->inProgress() == 0);
}
