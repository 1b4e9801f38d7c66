#include "support/RouterBench.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("a cold endpoint gets at most its reported room minus what was sent since")
{
    RouterBench bench({ "a-1" });
    LoadReport cold = RouterBench::roomFor(2);
    cold.cold = true;
    bench.connect("a-1", cold);
    for (int number = 0; number < 5; ++number)
        bench.complete("prompt " + std::to_string(number));
    CHECK(bench.toAgents<SubmitGeneration>().size() == 2);
    CHECK(bench.toCallers<CallerFailure>().size() == 3);
}

TEST_CASE("a late report that cannot know of work on its way does not free the room twice")
{
    RouterBench bench({ "a-1" });
    LoadReport cold = RouterBench::roomFor(1);
    cold.cold = true;
    bench.connect("a-1", cold);
    bench.complete("one");
    bench.agent("a-1", cold);
    bench.complete("two");
    CHECK(bench.toAgents<SubmitGeneration>().size() == 1);
}
