#include "support/EngineScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

Duration completionTime(std::uint64_t generations, double speed)
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

TEST_CASE("the time between tokens grows with the batch size")
{
    CHECK(completionTime(64, 1) > completionTime(8, 1));
    CHECK(completionTime(8, 1) > completionTime(1, 1));
}

TEST_CASE("a higher speed setting shortens the same work") { CHECK(completionTime(8, 2) < completionTime(8, 1)); }
