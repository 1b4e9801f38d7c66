#include "support/RouterHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

void connectPlainEndpoints(RouterHarness& harness)
{
    harness.connect("p-1");
    harness.connect("p-2");
}

}

TEST_CASE("an at-most-once call whose link breaks fails with an unknown outcome and is not repeated")
{
    RouterHarness harness;
    connectPlainEndpoints(harness);
    harness.requestCall("GET", "key");
    const auto [endpoint, submitted] = harness.sentToAgents<SubmitCall>().front();
    CHECK(submitted.work.atMostOnce);
    SUBCASE("link down") { harness.send(LinkDown { EndpointId(endpoint) }); }
    SUBCASE("link silent") { harness.advance(Milliseconds(3500)); }
    SUBCASE("agent reports an unknown outcome")
    {
        harness.deliverFromAgent(
            endpoint, CallFailed { submitted.call, { ErrorCode::EndpointLost, "lost", Executed::Unknown } });
    }
    CHECK(harness.sentToAgents<SubmitCall>().size() == 1);
    REQUIRE(harness.sentToCallers<CallerFailure>().size() == 1);
    CHECK(harness.sentToCallers<CallerFailure>().front().failure.run == Executed::Unknown);
}

TEST_CASE("a call to a non-repeatable operation without an idempotency key gets one")
{
    RouterHarness harness;
    connectPlainEndpoints(harness);
    harness.requestCall("POST");
    const ServiceWork work = harness.sentToAgents<SubmitCall>().front().second.work;
    CHECK(work.atMostOnce);
    CHECK_FALSE(work.key.get().empty());
}

TEST_CASE("a call that did not run is retried elsewhere with the same key")
{
    RouterHarness harness;
    connectPlainEndpoints(harness);
    harness.requestCall("POST", "key");
    const auto [endpoint, submitted] = harness.sentToAgents<SubmitCall>().front();
    harness.deliverFromAgent(endpoint, CallFailed { submitted.call, { ErrorCode::QueueFull, "full", Executed::No } });
    REQUIRE(harness.sentToAgents<SubmitCall>().size() == 2);
    CHECK(harness.sentToAgents<SubmitCall>().back().first != endpoint);
    CHECK(harness.sentToAgents<SubmitCall>().back().second.work.key == IdempotencyKey("key"));
}

TEST_CASE("a repeatable call is retried elsewhere when its link breaks")
{
    RouterHarness harness;
    connectPlainEndpoints(harness);
    harness.requestCall("GET");
    harness.send(LinkDown { EndpointId(harness.sentToAgents<SubmitCall>().front().first) });
    CHECK(harness.sentToAgents<SubmitCall>().size() == 2);
    CHECK(harness.sentToCallers<CallerFailure>().empty());
}
