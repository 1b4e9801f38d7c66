#include "support/RouterBench.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("whole answers beyond the retry budget wait for it and are not lost")
{
    RouterBench bench({ "a-1", "a-2" });
    bench.connect("a-1", RouterBench::roomFor(100));
    constexpr std::size_t requests = 20;
    for (std::size_t number = 0; number < requests; ++number)
        bench.complete("prompt " + std::to_string(number));
    bench.connect("a-2", RouterBench::roomFor(100));
    bench.send(LinkDown { EndpointId("a-1") });
    bench.connect("a-1", RouterBench::roomFor(100), 2);
    CHECK(bench.toAgents<SubmitGeneration>().size() < 2 * requests);
    for (int second = 0; second < 15; ++second) {
        bench.agent("a-1", RouterBench::roomFor(100));
        bench.agent("a-2", RouterBench::roomFor(100));
        bench.advance(Seconds(1));
    }
    CHECK(bench.toAgents<SubmitGeneration>().size() == 2 * requests);
    CHECK(bench.toCallers<CallerFailure>().empty());
}
