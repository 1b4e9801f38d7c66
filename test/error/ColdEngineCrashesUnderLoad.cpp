#include "support/EngineScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

EngineSettings coldStartSettings()
{
    EngineSettings settings;
    settings.coldStartDuration = Seconds(5);
    settings.coldConcurrencyLimit = 3;
    return settings;
}

}

TEST_CASE("a cold engine above its concurrency limit crashes and loses all streams")
{
    EngineScenario scenario(coldStartSettings());
    for (std::uint64_t id = 1; id <= 4; ++id)
        scenario.submit(id, "len=500");
    scenario.runUntil(Instant {} + Seconds(1));
    CHECK(scenario.engine.isCrashed());
    CHECK(scenario.lost.size() == 4);
    CHECK_FALSE(scenario.submit(5, "len=5"));
}

TEST_CASE("a cold engine survives load up to its concurrency limit and more once it is warm")
{
    EngineScenario scenario(coldStartSettings());
    for (std::uint64_t id = 1; id <= 3; ++id)
        scenario.submit(id, "len=2000");
    scenario.runUntil(Instant {} + Seconds(6));
    for (std::uint64_t id = 4; id <= 20; ++id)
        scenario.submit(id, "len=5");
    scenario.runUntil(Instant {} + Seconds(8));
    CHECK_FALSE(scenario.engine.isCrashed());
    CHECK(scenario.finished.size() == 17);
}

TEST_CASE("an engine that turns cold under load crashes and restarts as a new incarnation")
{
    EngineScenario scenario(coldStartSettings());
    scenario.runUntil(Instant {} + Seconds(6));
    for (std::uint64_t id = 1; id <= 10; ++id)
        scenario.submit(id, "len=500");
    scenario.runUntil(Instant {} + Seconds(7));
    const std::uint64_t before = scenario.engine.incarnation();
    scenario.engine.turnCold(scenario.now);
    scenario.runUntil(Instant {} + Seconds(8));
    CHECK(scenario.lost.size() == 10);
    scenario.engine.restart(scenario.now);
    CHECK(scenario.engine.incarnation() != before);
    CHECK(scenario.engine.isCold(scenario.now));
    CHECK(scenario.engine.blocksUsed() == 0);
}

TEST_CASE("a request that crashes the engine also loses the other generations")
{
    EngineScenario scenario(EngineSettings {});
    REQUIRE(scenario.submit(1, "len=500"));
    REQUIRE(scenario.submit(2, "crash!"));
    scenario.runUntil(Instant {} + Seconds(1));
    CHECK(scenario.engine.isCrashed());
    CHECK(scenario.lost == std::vector<std::uint64_t> { 1, 2 });
}
