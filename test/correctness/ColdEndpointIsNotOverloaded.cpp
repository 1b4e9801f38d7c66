#include "support/RouterHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("a cold endpoint gets at most its reported capacity less the requests sent since the report")
{
    RouterHarness harness({ "a-1" });
    LoadReport cold = RouterHarness::reportWithCapacity(2);
    cold.cold = true;
    harness.connect("a-1", cold);
    for (int number = 0; number < 5; ++number)
        harness.requestCompletion("prompt " + std::to_string(number));
    CHECK(harness.sentToAgents<SubmitGeneration>().size() == 2);
    CHECK(harness.sentToCallers<CallerFailure>().size() == 3);
}

TEST_CASE("a report that does not yet include a submission in transit does not free its capacity again")
{
    RouterHarness harness({ "a-1" });
    LoadReport cold = RouterHarness::reportWithCapacity(1);
    cold.cold = true;
    harness.connect("a-1", cold);
    harness.requestCompletion("one");
    harness.deliverFromAgent("a-1", cold);
    harness.requestCompletion("two");
    CHECK(harness.sentToAgents<SubmitGeneration>().size() == 1);
}
