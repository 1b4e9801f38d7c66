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

TEST_CASE("the same seed gives the same texts, token times and preemptions")
{
    const EngineScenario first = run(7);
    const EngineScenario second = run(7);
    CHECK(first.texts == second.texts);
    CHECK(first.tokenTimes == second.tokenTimes);
    CHECK(first.engine.preemptions() == second.engine.preemptions());
    CHECK(first.finished.size() == 40);
}

TEST_CASE("a different seed gives different outputs") { CHECK(run(7).texts != run(8).texts); }
