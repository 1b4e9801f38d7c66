#include "support/RouterHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

void connectPlain(RouterHarness& harness)
{
    harness.connect("p-1");
    harness.connect("p-2");
}

}

TEST_CASE("a call that must run at most once is handed on as unknown when its link breaks")
{
    RouterHarness harness;
    connectPlain(harness);
    harness.call("GET", "key");
    const auto [endpoint, submitted] = harness.toAgents<SubmitCall>().front();
    CHECK(submitted.work.atMostOnce);
    SUBCASE("link down") { harness.send(LinkDown { EndpointId(endpoint) }); }
    SUBCASE("link silent") { harness.advance(Milliseconds(3500)); }
    SUBCASE("agent says unknown")
    {
        harness.agent(endpoint, CallFailed { submitted.call, { ErrorCode::EndpointLost, "lost", Run::Unknown } });
    }
    CHECK(harness.toAgents<SubmitCall>().size() == 1);
    REQUIRE(harness.toCallers<CallerFailure>().size() == 1);
    CHECK(harness.toCallers<CallerFailure>().front().failure.run == Run::Unknown);
}

TEST_CASE("a call without a key to an operation that must not be repeated gets a key")
{
    RouterHarness harness;
    connectPlain(harness);
    harness.call("POST");
    const ServiceWork work = harness.toAgents<SubmitCall>().front().second.work;
    CHECK(work.atMostOnce);
    CHECK_FALSE(work.key.get().empty());
}

TEST_CASE("a call that did not run is tried elsewhere under the same key")
{
    RouterHarness harness;
    connectPlain(harness);
    harness.call("POST", "key");
    const auto [endpoint, submitted] = harness.toAgents<SubmitCall>().front();
    harness.agent(endpoint, CallFailed { submitted.call, { ErrorCode::QueueFull, "full", Run::No } });
    REQUIRE(harness.toAgents<SubmitCall>().size() == 2);
    CHECK(harness.toAgents<SubmitCall>().back().first != endpoint);
    CHECK(harness.toAgents<SubmitCall>().back().second.work.key == IdempotencyKey("key"));
}

TEST_CASE("a repeatable call is repeated elsewhere when its link breaks")
{
    RouterHarness harness;
    connectPlain(harness);
    harness.call("GET");
    harness.send(LinkDown { EndpointId(harness.toAgents<SubmitCall>().front().first) });
    CHECK(harness.toAgents<SubmitCall>().size() == 2);
    CHECK(harness.toCallers<CallerFailure>().empty());
}
