#include "support/RouterHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("when an endpoint with many requests is lost, those beyond the retry budget wait for it and none fails")
{
    RouterHarness harness({ "a-1", "a-2" });
    harness.connect("a-1", RouterHarness::reportWithCapacity(100));
    constexpr std::size_t requests = 20;
    for (std::size_t number = 0; number < requests; ++number)
        harness.requestCompletion("prompt " + std::to_string(number));
    harness.connect("a-2", RouterHarness::reportWithCapacity(100));
    harness.send(LinkDown { EndpointId("a-1") });
    harness.connect("a-1", RouterHarness::reportWithCapacity(100), 2);
    CHECK(harness.sentToAgents<SubmitGeneration>().size() < 2 * requests);
    for (int second = 0; second < 15; ++second) {
        harness.deliverFromAgent("a-1", RouterHarness::reportWithCapacity(100));
        harness.deliverFromAgent("a-2", RouterHarness::reportWithCapacity(100));
        harness.advance(Seconds(1));
    }
    CHECK(harness.sentToAgents<SubmitGeneration>().size() == 2 * requests);
    CHECK(harness.sentToCallers<CallerFailure>().empty());
}
