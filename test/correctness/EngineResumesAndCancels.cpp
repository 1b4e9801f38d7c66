#include "support/EngineScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("resuming a finished generation replays the tokens from the given index on and the finish event")
{
    EngineScenario scenario(EngineSettings {});
    REQUIRE(scenario.submit(1, "len=10"));
    scenario.runUntil(Instant {} + Seconds(10));
    const auto events = scenario.engine.resume(EngineResume { GenerationId(1), 7 });
    REQUIRE(events.size() == 2);
    const auto* tokens = std::get_if<EngineTokens>(&events.front());
    REQUIRE(tokens != nullptr);
    CHECK(tokens->firstIndex == 7);
    CHECK(tokens->texts.size() == 3);
    CHECK(scenario.texts[1].ends_with(tokens->texts.back()));
    CHECK(std::holds_alternative<EngineFinished>(events.back()));
}

TEST_CASE("a cancelled generation frees its memory and cannot be resumed; cancelling again has no effect")
{
    EngineScenario scenario(EngineSettings {});
    REQUIRE(scenario.submit(1, "len=1000"));
    scenario.runUntil(Instant {} + Milliseconds(100));
    scenario.engine.cancel(GenerationId(1), scenario.now);
    scenario.engine.cancel(GenerationId(1), scenario.now);
    CHECK(scenario.engine.blocksUsed() == 0);
    const auto events = scenario.engine.resume(EngineResume { GenerationId(1), 0 });
    REQUIRE(events.size() == 1);
    CHECK(std::holds_alternative<EngineGenerationNotFound>(events.front()));
}

TEST_CASE("a generation that reaches the caller's max_tokens finishes with the reason length")
{
    EngineScenario scenario(EngineSettings {});
    EngineStart start = EngineScenario::makeStart(1, "len=100");
    start.work.maxTokens = 12;
    REQUIRE_FALSE(scenario.engine.submit(start, scenario.now).has_value());
    scenario.runUntil(Instant {} + Seconds(10));
    CHECK(scenario.tokenTimes[1].size() == 12);
    CHECK(scenario.finished[1] == FinishReason::Length);
}

TEST_CASE("the load report shows a generation only after the report interval")
{
    EngineScenario scenario(EngineSettings {});
    REQUIRE(scenario.submit(1, "len=1000"));
    scenario.runUntil(Instant {} + Milliseconds(150));
    CHECK(scenario.engine.report(scenario.now).running == 0);
    scenario.runUntil(Instant {} + Seconds(1));
    CHECK(scenario.engine.report(scenario.now).running == 1);
}
