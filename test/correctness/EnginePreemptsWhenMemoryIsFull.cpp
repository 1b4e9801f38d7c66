#include "support/EngineScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

EngineSettings smallMemory()
{
    EngineSettings settings;
    settings.blocks = 20;
    return settings;
}

}

TEST_CASE("with full memory the youngest generation is preempted, its stream stalls, and each token arrives once")
{
    EngineScenario scenario(smallMemory());
    REQUIRE(scenario.submit(1, "len=200"));
    REQUIRE(scenario.submit(2, "len=200"));
    scenario.runUntil(Instant {} + Seconds(60));
    CHECK(scenario.engine.preemptions() == 1);
    CHECK(scenario.tokenTimes[1].size() == 200);
    CHECK(scenario.tokenTimes[2].size() == 200);
    CHECK(scenario.tokenTimes[1].back() < scenario.tokenTimes[2].back());
    Duration longestGap {};
    for (std::size_t index = 1; index < scenario.tokenTimes[2].size(); ++index)
        longestGap = std::max(longestGap, scenario.tokenTimes[2][index] - scenario.tokenTimes[2][index - 1]);
    CHECK(longestGap > Milliseconds(300));
    CHECK(scenario.engine.blocksUsed() == 0);
}

TEST_CASE("an older generation of a lower priority class is preempted before a younger one of a higher class")
{
    EngineScenario scenario(smallMemory());
    REQUIRE(scenario.submit(1, "len=200", PriorityClass::Batch));
    REQUIRE(scenario.submit(2, "len=200", PriorityClass::Interactive));
    scenario.runUntil(Instant {} + Seconds(60));
    CHECK(scenario.engine.preemptions() == 1);
    CHECK(scenario.tokenTimes[2].back() < scenario.tokenTimes[1].back());
}

TEST_CASE("the engine refuses a generation that does not fit into its memory")
{
    EngineScenario scenario(smallMemory());
    CHECK_FALSE(scenario.submit(1, "len=5000"));
}
