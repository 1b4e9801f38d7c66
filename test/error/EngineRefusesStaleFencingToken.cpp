#include "support/EngineScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

EngineOrder roleOrder(const std::string& role, std::uint64_t fence)
{
    return EngineOrder { EngineOrderKind::ChangeRole, role, {}, fence };
}

}

TEST_CASE("an engine that checks fencing refuses an order with a stale fencing token")
{
    EngineScenario scenario(EngineSettings {});
    CHECK(scenario.engine.executeOrder(roleOrder("generate", 5), scenario.now).accepted);
    CHECK_FALSE(scenario.engine.executeOrder(roleOrder("prefill", 4), scenario.now).accepted);
    CHECK(scenario.engine.executeOrder(roleOrder("generate", 5), scenario.now).accepted);
    CHECK(scenario.engine.report(scenario.now + Seconds(1)).role == "generate");
}

TEST_CASE("an engine that does not check fencing executes an order with a stale fencing token")
{
    EngineSettings settings;
    settings.checksFencing = false;
    EngineScenario scenario(settings);
    CHECK(scenario.engine.executeOrder(roleOrder("generate", 5), scenario.now).accepted);
    CHECK(scenario.engine.executeOrder(roleOrder("prefill", 4), scenario.now).accepted);
}

TEST_CASE("a model is served only after its load time and no longer once it is unloaded")
{
    EngineScenario scenario(EngineSettings {});
    EngineStart start = EngineScenario::makeStart(1, "len=5");
    start.work.model = ModelId("other");
    CHECK(scenario.engine.submit(start, scenario.now).has_value());
    const EngineOrder load { EngineOrderKind::LoadModel, "other", "1", 1 };
    CHECK(scenario.engine.executeOrder(load, scenario.now).accepted);
    CHECK(scenario.engine.submit(start, scenario.now).has_value());
    scenario.runUntil(Instant {} + Seconds(3));
    CHECK_FALSE(scenario.engine.submit(start, scenario.now).has_value());
    CHECK(scenario.engine.executeOrder({ EngineOrderKind::UnloadModel, "other", "1", 2 }, scenario.now).accepted);
    start.generation = GenerationId(2);
    CHECK(scenario.engine.submit(start, scenario.now).has_value());
}
