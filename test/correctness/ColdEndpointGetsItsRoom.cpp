#include "support/RouterHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("a cold endpoint gets at most its reported room minus what was sent since")
{
    RouterHarness harness({ "a-1" });
    LoadReport cold = RouterHarness::reportWithCapacity(2);
    cold.cold = true;
    harness.connect("a-1", cold);
    for (int number = 0; number < 5; ++number)
        harness.complete("prompt " + std::to_string(number));
    CHECK(harness.toAgents<SubmitGeneration>().size() == 2);
    CHECK(harness.toCallers<CallerFailure>().size() == 3);
}

TEST_CASE("a late report that cannot know of work on its way does not free the room twice")
{
    RouterHarness harness({ "a-1" });
    LoadReport cold = RouterHarness::reportWithCapacity(1);
    cold.cold = true;
    harness.connect("a-1", cold);
    harness.complete("one");
    harness.agent("a-1", cold);
    harness.complete("two");
    CHECK(harness.toAgents<SubmitGeneration>().size() == 1);
}
