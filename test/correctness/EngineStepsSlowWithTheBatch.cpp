#include "support/EngineScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

Duration timeFor(std::uint64_t generations, double speed)
{
    EngineSettings settings;
    settings.speed = speed;
    EngineScenario scenario(settings);
    for (std::uint64_t id = 1; id <= generations; ++id)
        REQUIRE(scenario.submit(id, "len=100"));
    scenario.runUntil(Instant {} + Seconds(60));
    return scenario.tokenTimes[1].back() - Instant {};
}

}

TEST_CASE("the time between tokens grows with the batch")
{
    CHECK(timeFor(64, 1) > timeFor(8, 1));
    CHECK(timeFor(8, 1) > timeFor(1, 1));
}

TEST_CASE("a faster engine takes less time for the same work") { CHECK(timeFor(8, 2) < timeFor(8, 1)); }
