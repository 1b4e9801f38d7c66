#include "support/EngineScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

Duration secondTimeToFirstToken(const std::string& firstPrompt, const std::string& secondPrompt)
{
    EngineScenario scenario(EngineSettings {});
    REQUIRE(scenario.submit(1, firstPrompt));
    scenario.runUntil(Instant {} + Seconds(10));
    const Instant submitted = scenario.now;
    REQUIRE(scenario.submit(2, secondPrompt));
    scenario.runUntil(Instant {} + Seconds(20));
    return scenario.tokenTimes[2].front() - submitted;
}

}

TEST_CASE("a cached prefix shortens the time to first token")
{
    const std::string shared(6400, 'a');
    const std::string other(6400, 'b');
    const Duration hit = secondTimeToFirstToken(shared + " len=4", shared + " len=5");
    const Duration miss = secondTimeToFirstToken(other + " len=4", shared + " len=5");
    CHECK(hit < miss);
}

TEST_CASE("generations with the same prefix share its blocks, and a cache event lists the stored blocks")
{
    EngineScenario scenario(EngineSettings {});
    const std::string shared(6400, 'a');
    REQUIRE(scenario.submit(1, shared + " len=500"));
    scenario.runUntil(Instant {} + Seconds(1));
    const std::uint64_t blocksOfFirst = scenario.engine.blocksUsed();
    CHECK(scenario.engine.cacheEvents(0, scenario.now).stored == prefixHashes(shared + " len=500", 16));
    REQUIRE(scenario.submit(2, shared + " len=500"));
    scenario.runUntil(Instant {} + Milliseconds(1100));
    CHECK(scenario.engine.blocksUsed() < blocksOfFirst + blocksOfFirst / 2);
}

TEST_CASE("cache events are not published before the report interval has passed")
{
    EngineScenario scenario(EngineSettings {});
    REQUIRE(scenario.submit(1, std::string(640, 'a') + " len=500"));
    scenario.runUntil(Instant {} + Milliseconds(100));
    CHECK(scenario.engine.cacheEvents(0, scenario.now).stored.empty());
}
