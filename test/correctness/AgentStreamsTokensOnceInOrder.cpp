#include "support/AgentScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

std::vector<std::string> textsOf(const AgentScenario& scenario, const EntryId& entry)
{
    std::vector<std::string> texts;
    for (const auto& message : scenario.sent<GenerationTokens>(entry)) {
        CHECK(message.firstIndex == texts.size());
        texts.insert(texts.end(), message.texts.begin(), message.texts.end());
    }
    return texts;
}

}

TEST_CASE("each token is sent once when the engine's streams overlap or have gaps")
{
    AgentScenario scenario("drafter-1");
    scenario.submit(7);
    scenario.submit(7);
    CHECK(scenario.commands<EngineStart>().size() == 1);
    scenario.tokens(7, 0, 3);
    scenario.tokens(7, 2, 2);
    scenario.tokens(7, 6, 2);
    REQUIRE(scenario.commands<EngineResume>().size() == 1);
    CHECK(scenario.commands<EngineResume>()[0] == EngineResume { GenerationId(7), 4 });
    scenario.fromEngine(EngineFinished { GenerationId(7), FinishReason::Stop });
    CHECK(scenario.sent<GenerationFinished>().empty());
    scenario.tokens(7, 4, 4);
    scenario.fromEngine(EngineFinished { GenerationId(7), FinishReason::Stop });
    CHECK(textsOf(scenario, AgentScenario::entry).size() == 8);
    REQUIRE(scenario.sent<GenerationFinished>().size() == 1);
    CHECK(scenario.sent<GenerationFinished>()[0].tokenCount == 8);
    scenario.tokens(7, 8, 1);
    CHECK(textsOf(scenario, AgentScenario::entry).size() == 8);
}

TEST_CASE("another entry resumes a stream from the requested token, but only for the team that owns it")
{
    AgentScenario scenario("drafter-1");
    const EntryId other("entry-2");
    scenario.submit(7);
    scenario.tokens(7, 0, 5);
    scenario.deliver(EntryLinkDown { AgentScenario::entry });
    scenario.tokens(7, 5, 5);
    scenario.deliver(EntryLinkUp { other });
    scenario.fromEntry(ResumeGeneration { GenerationId(7), TeamId("stranger"), 0 }, other);
    CHECK(scenario.sent<GenerationUnknown>(other).size() == 1);
    CHECK(scenario.sent<GenerationTokens>(other).empty());
    scenario.fromEntry(ResumeGeneration { GenerationId(7), TeamId("huye"), 3 }, other);
    const auto messages = scenario.sent<GenerationTokens>(other);
    REQUIRE(messages.size() == 1);
    CHECK(messages[0].firstIndex == 3);
    CHECK(messages[0].texts.size() == 7);
}

TEST_CASE("unacknowledged tokens do not exceed the flow window")
{
    AgentScenario scenario("drafter-1");
    const std::uint32_t window = AgentLimits().flowWindow;
    scenario.submit(7);
    scenario.tokens(7, 0, window + 100);
    CHECK(textsOf(scenario, AgentScenario::entry).size() == window);
    scenario.fromEntry(AcknowledgeTokens { GenerationId(7), 60 });
    CHECK(textsOf(scenario, AgentScenario::entry).size() == window + 60);
}
