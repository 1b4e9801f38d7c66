#include "support/RouterBench.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("an entry that was paused sends no work before new connections gave fresh reports")
{
    RouterBench bench({ "a-1" });
    bench.connect("a-1");
    bench.clear();
    bench.now += Seconds(30);
    bench.complete("early");
    CHECK(bench.toAgents<SubmitGeneration>().empty());
    CHECK(bench.toCallers<CallerFailure>().size() == 1);
    CHECK(bench.count<OpenLink>() > 0);
    bench.agent("a-1", RouterBench::roomFor(8));
    bench.complete("still early");
    CHECK(bench.toAgents<SubmitGeneration>().empty());
    bench.connect("a-1");
    bench.complete("fresh");
    CHECK(bench.toAgents<SubmitGeneration>().size() == 1);
}

TEST_CASE("an agent that comes back with another incarnation has lost its work")
{
    RouterBench bench({ "a-1", "a-2" });
    bench.connect("a-1");
    bench.connect("a-2");
    bench.complete("prompt");
    const auto [endpoint, submitted] = bench.toAgents<SubmitGeneration>().front();
    bench.send(LinkDown { EndpointId(endpoint) });
    bench.clear();
    bench.connect(endpoint, RouterBench::roomFor(8), 2);
    REQUIRE(bench.toAgents<SubmitGeneration>().size() == 1);
    CHECK(bench.toAgents<SubmitGeneration>().front().first != endpoint);
    bench.agent(endpoint, GenerationUnknown { submitted.generation });
    CHECK(bench.toAgents<SubmitGeneration>().size() == 1);
}
