#include "support/EngineScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

EngineScenario run(std::uint64_t seed)
{
    EngineSettings settings;
    settings.seed = seed;
    settings.blocks = 300;
    settings.lengths.maxLengthTokens = 2000;
    EngineScenario scenario(settings);
    for (std::uint64_t id = 1; id <= 40; ++id)
        scenario.submit(id, "prompt");
    scenario.runUntil(Instant {} + Seconds(300));
    return scenario;
}

}

TEST_CASE("the same seed gives the same texts, times and preemptions")
{
    const EngineScenario one = run(7);
    const EngineScenario two = run(7);
    CHECK(one.texts == two.texts);
    CHECK(one.tokenTimes == two.tokenTimes);
    CHECK(one.engine.preemptions() == two.engine.preemptions());
    CHECK(one.finished.size() == 40);
}

TEST_CASE("another seed gives other lengths") { CHECK(run(7).texts != run(8).texts); }
