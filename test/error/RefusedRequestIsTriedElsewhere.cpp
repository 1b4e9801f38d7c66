#include "support/RouterBench.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("a refused generation is tried at another endpoint, and the last refusal is handed on as not run")
{
    RouterBench bench({ "a-1", "a-2" });
    bench.connect("a-1");
    bench.connect("a-2");
    bench.complete("prompt");
    for (int attempt = 0; attempt < 2; ++attempt) {
        const auto [endpoint, submitted] = bench.toAgents<SubmitGeneration>().back();
        bench.agent(endpoint, GenerationRefused { submitted.generation, ErrorCode::QueueFull, Seconds(3) });
    }
    const auto sent = bench.toAgents<SubmitGeneration>();
    REQUIRE(sent.size() == 2);
    CHECK(sent[0].first != sent[1].first);
    REQUIRE(bench.toCallers<CallerFailure>().size() == 1);
    const Failure failure = bench.toCallers<CallerFailure>().front().failure;
    CHECK(failure.code == ErrorCode::QueueFull);
    CHECK(failure.run == Executed::No);
    CHECK(failure.retryAfter == Seconds(3));
}

TEST_CASE("retries stay within a tenth of the traffic and the floor")
{
    RouterBench bench({ "a-1", "a-2" });
    bench.connect("a-1", RouterBench::roomFor(1000));
    bench.connect("a-2", RouterBench::roomFor(1000));
    constexpr std::size_t requests = 200;
    for (std::size_t number = 0; number < requests; ++number) {
        bench.complete("prompt " + std::to_string(number));
        while (bench.router->inProgress() > 0) {
            const auto [endpoint, submitted] = bench.toAgents<SubmitGeneration>().back();
            bench.agent(endpoint, GenerationRefused { submitted.generation, ErrorCode::QueueFull, Seconds(1) });
        }
    }
    CHECK(bench.toCallers<CallerFailure>().size() == requests);
    CHECK(bench.toAgents<SubmitGeneration>().size() > requests);
    CHECK(bench.toAgents<SubmitGeneration>().size() <= requests + requests / 10 + 10);
}

TEST_CASE("a deadline ends the request and cancels its generation")
{
    RouterBench bench({ "a-1" });
    bench.connect("a-1");
    bench.complete("prompt");
    for (int second = 0; second < 61; ++second) {
        bench.agent("a-1", RouterBench::roomFor(8));
        bench.advance(Seconds(1));
    }
    CHECK(bench.toAgents<CancelGeneration>().size() == 1);
    REQUIRE(bench.toCallers<CallerFailure>().size() == 1);
    CHECK(bench.toCallers<CallerFailure>().front().failure.code == ErrorCode::DeadlineExceeded);
    CHECK(bench.toCallers<CallerFailure>().front().failure.run == Executed::Unknown);
}
