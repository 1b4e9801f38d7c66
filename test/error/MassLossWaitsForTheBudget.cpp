#include "support/RouterHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("whole answers beyond the retry budget wait for it and are not lost")
{
    RouterHarness harness({ "a-1", "a-2" });
    harness.connect("a-1", RouterHarness::reportWithCapacity(100));
    constexpr std::size_t requests = 20;
    for (std::size_t number = 0; number < requests; ++number)
        harness.complete("prompt " + std::to_string(number));
    harness.connect("a-2", RouterHarness::reportWithCapacity(100));
    harness.send(LinkDown { EndpointId("a-1") });
    harness.connect("a-1", RouterHarness::reportWithCapacity(100), 2);
    CHECK(harness.toAgents<SubmitGeneration>().size() < 2 * requests);
    for (int second = 0; second < 15; ++second) {
        harness.agent("a-1", RouterHarness::reportWithCapacity(100));
        harness.agent("a-2", RouterHarness::reportWithCapacity(100));
        harness.advance(Seconds(1));
    }
    CHECK(harness.toAgents<SubmitGeneration>().size() == 2 * requests);
    CHECK(harness.toCallers<CallerFailure>().empty());
}
