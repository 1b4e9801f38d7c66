#include "support/RouterBench.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

void connectPlain(RouterBench& bench)
{
    bench.connect("p-1");
    bench.connect("p-2");
}

}

TEST_CASE("a call that must run at most once is handed on as unknown when its link breaks")
{
    RouterBench bench;
    connectPlain(bench);
    bench.call("GET", "key");
    const auto [endpoint, submitted] = bench.toAgents<SubmitCall>().front();
    CHECK(submitted.work.atMostOnce);
    SUBCASE("link down") { bench.send(LinkDown { EndpointId(endpoint) }); }
    SUBCASE("link silent") { bench.advance(Milliseconds(3500)); }
    SUBCASE("agent says unknown")
    {
        bench.agent(endpoint, CallFailed { submitted.call, { ErrorCode::EndpointLost, "lost", Executed::Unknown } });
    }
    CHECK(bench.toAgents<SubmitCall>().size() == 1);
    REQUIRE(bench.toCallers<CallerFailure>().size() == 1);
    CHECK(bench.toCallers<CallerFailure>().front().failure.run == Executed::Unknown);
}

TEST_CASE("a call without a key to an operation that must not be repeated gets a key")
{
    RouterBench bench;
    connectPlain(bench);
    bench.call("POST");
    const ServiceWork work = bench.toAgents<SubmitCall>().front().second.work;
    CHECK(work.atMostOnce);
    CHECK_FALSE(work.key.get().empty());
}

TEST_CASE("a call that did not run is tried elsewhere under the same key")
{
    RouterBench bench;
    connectPlain(bench);
    bench.call("POST", "key");
    const auto [endpoint, submitted] = bench.toAgents<SubmitCall>().front();
    bench.agent(endpoint, CallFailed { submitted.call, { ErrorCode::QueueFull, "full", Executed::No } });
    REQUIRE(bench.toAgents<SubmitCall>().size() == 2);
    CHECK(bench.toAgents<SubmitCall>().back().first != endpoint);
    CHECK(bench.toAgents<SubmitCall>().back().second.work.key == IdempotencyKey("key"));
}

TEST_CASE("a repeatable call is repeated elsewhere when its link breaks")
{
    RouterBench bench;
    connectPlain(bench);
    bench.call("GET");
    bench.send(LinkDown { EndpointId(bench.toAgents<SubmitCall>().front().first) });
    CHECK(bench.toAgents<SubmitCall>().size() == 2);
    CHECK(bench.toCallers<CallerFailure>().empty());
}
