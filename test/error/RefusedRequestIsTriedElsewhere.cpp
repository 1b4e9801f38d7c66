#include "support/RouterHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("a refused generation is tried at another endpoint, and the last refusal is handed on as not run")
{
    RouterHarness harness({ "a-1", "a-2" });
    harness.connect("a-1");
    harness.connect("a-2");
    harness.complete("prompt");
    for (int attempt = 0; attempt < 2; ++attempt) {
        const auto [endpoint, submitted] = harness.toAgents<SubmitGeneration>().back();
        harness.agent(endpoint, GenerationRefused { submitted.generation, ErrorCode::QueueFull, Seconds(3) });
    }
    const auto sent = harness.toAgents<SubmitGeneration>();
    REQUIRE(sent.size() == 2);
    CHECK(sent[0].first != sent[1].first);
    REQUIRE(harness.toCallers<CallerFailure>().size() == 1);
    const Failure failure = harness.toCallers<CallerFailure>().front().failure;
    CHECK(failure.code == ErrorCode::QueueFull);
    CHECK(failure.run == Run::No);
    CHECK(failure.retryAfter == Seconds(3));
}

TEST_CASE("retries stay within a tenth of the traffic and the floor")
{
    RouterHarness harness({ "a-1", "a-2" });
    harness.connect("a-1", RouterHarness::reportWithCapacity(1000));
    harness.connect("a-2", RouterHarness::reportWithCapacity(1000));
    constexpr std::size_t requests = 200;
    for (std::size_t number = 0; number < requests; ++number) {
        harness.complete("prompt " + std::to_string(number));
        while (harness.router->inProgress() > 0) {
            const auto [endpoint, submitted] = harness.toAgents<SubmitGeneration>().back();
            harness.agent(endpoint, GenerationRefused { submitted.generation, ErrorCode::QueueFull, Seconds(1) });
        }
    }
    CHECK(harness.toCallers<CallerFailure>().size() == requests);
    CHECK(harness.toAgents<SubmitGeneration>().size() > requests);
    CHECK(harness.toAgents<SubmitGeneration>().size() <= requests + requests / 10 + 10);
}

TEST_CASE("a deadline ends the request and cancels its generation")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    harness.complete("prompt");
    for (int second = 0; second < 61; ++second) {
        harness.agent("a-1", RouterHarness::reportWithCapacity(8));
        harness.advance(Seconds(1));
    }
    CHECK(harness.toAgents<CancelGeneration>().size() == 1);
    REQUIRE(harness.toCallers<CallerFailure>().size() == 1);
    CHECK(harness.toCallers<CallerFailure>().front().failure.code == ErrorCode::DeadlineExceeded);
    CHECK(harness.toCallers<CallerFailure>().front().failure.run == Run::Unknown);
}
