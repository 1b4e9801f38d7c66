#include "support/RouterHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("a refused generation is retried at another endpoint, and the last refusal is sent to the caller as not run")
{
    RouterHarness harness({ "a-1", "a-2" });
    harness.connect("a-1");
    harness.connect("a-2");
    harness.requestCompletion("prompt");
    for (int attempt = 0; attempt < 2; ++attempt) {
        const auto [endpoint, submitted] = harness.sentToAgents<SubmitGeneration>().back();
        harness.deliverFromAgent(
            endpoint, GenerationRefused { submitted.generation, ErrorCode::QueueFull, Seconds(3) });
    }
    const auto sent = harness.sentToAgents<SubmitGeneration>();
    REQUIRE(sent.size() == 2);
    CHECK(sent[0].first != sent[1].first);
    REQUIRE(harness.sentToCallers<CallerFailure>().size() == 1);
    const Failure failure = harness.sentToCallers<CallerFailure>().front().failure;
    CHECK(failure.code == ErrorCode::QueueFull);
    CHECK(failure.run == Executed::No);
    CHECK(failure.retryAfter == Seconds(3));
}

TEST_CASE("retries stay within a tenth of the requests plus the minimum of retries that is always allowed")
{
    RouterHarness harness({ "a-1", "a-2" });
    harness.connect("a-1", RouterHarness::reportWithCapacity(1000));
    harness.connect("a-2", RouterHarness::reportWithCapacity(1000));
    constexpr std::size_t requests = 200;
    for (std::size_t number = 0; number < requests; ++number) {
        harness.requestCompletion("prompt " + std::to_string(number));
        while (harness.router->inProgress() > 0) {
            const auto [endpoint, submitted] = harness.sentToAgents<SubmitGeneration>().back();
            harness.deliverFromAgent(
                endpoint, GenerationRefused { submitted.generation, ErrorCode::QueueFull, Seconds(1) });
        }
    }
    CHECK(harness.sentToCallers<CallerFailure>().size() == requests);
    CHECK(harness.sentToAgents<SubmitGeneration>().size() > requests);
    CHECK(harness.sentToAgents<SubmitGeneration>().size() <= requests + requests / 10 + 10);
}

TEST_CASE("a request that passes its deadline fails and its generation is cancelled")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    harness.requestCompletion("prompt");
    for (int second = 0; second < 61; ++second) {
        harness.deliverFromAgent("a-1", RouterHarness::reportWithCapacity(8));
        harness.advance(Seconds(1));
    }
    CHECK(harness.sentToAgents<CancelGeneration>().size() == 1);
    REQUIRE(harness.sentToCallers<CallerFailure>().size() == 1);
    CHECK(harness.sentToCallers<CallerFailure>().front().failure.code == ErrorCode::DeadlineExceeded);
    CHECK(harness.sentToCallers<CallerFailure>().front().failure.run == Executed::Unknown);
}
