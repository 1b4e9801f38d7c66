#include "support/AgentScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

EngineReport reportOf(std::uint64_t incarnation)
{
    EngineReport report;
    report.incarnation = incarnation;
    report.blocksTotal = 1000;
    return report;
}

}

TEST_CASE("a broken engine stream is resumed at the next token until the limit of resumes, then the generation fails")
{
    AgentScenario scenario("drafter-1");
    scenario.submit(1);
    scenario.tokens(1, 0, 4);
    for (std::uint32_t loss = 0; loss <= AgentLimits().maxStreamResumes; ++loss) {
        scenario.fromEngine(EngineStreamLost { GenerationId(1) });
        scenario.advanceTime(Milliseconds(1100));
    }
    const auto resumes = scenario.commands<EngineResume>();
    CHECK(resumes.size() == AgentLimits().maxStreamResumes);
    CHECK(resumes.back() == EngineResume { GenerationId(1), 4 });
    REQUIRE(scenario.sent<GenerationFailed>().size() == 1);
    CHECK(scenario.sent<GenerationFailed>()[0].failure.run == Executed::Yes);
    CHECK(scenario.commands<EngineStart>().size() == 1);
}

// Guards against an agent that runs out of memory by tokens which an engine sends without end.
TEST_CASE("a generation with more tokens than its request asks for fails and is cancelled")
{
    AgentScenario scenario("drafter-1");
    CompletionWork work;
    work.team = TeamId("huye");
    work.prompt = "draft";
    work.maxTokens = 8;
    scenario.fromEntry(SubmitGeneration { GenerationId(1), work, Seconds(60) });
    scenario.tokens(1, 0, 8);
    CHECK(scenario.sent<GenerationFailed>().empty());
    scenario.tokens(1, 8, 1);
    REQUIRE(scenario.sent<GenerationFailed>().size() == 1);
    CHECK(scenario.sent<GenerationFailed>()[0].failure.run == Executed::Yes);
    CHECK(scenario.commands<EngineCancel>().size() == 1);
}

TEST_CASE("an engine restart fails running generations, makes the endpoint cold and never runs the work again")
{
    AgentScenario scenario("drafter-1");
    scenario.fromEngine(reportOf(1));
    scenario.submit(1);
    scenario.tokens(1, 0, 4);
    scenario.advanceTime(Seconds(5));
    scenario.fromEngine(reportOf(1));
    scenario.fromEngine(reportOf(2));
    CHECK(scenario.sent<GenerationFailed>().size() == 1);
    scenario.tokens(1, 4, 4);
    scenario.advanceTime(Seconds(1));
    CHECK(scenario.sent<GenerationTokens>().size() == 1);
    CHECK(scenario.commands<EngineStart>().size() == 1);
    CHECK(scenario.sent<LoadReport>().back().cold);
}

TEST_CASE("generations of a silent engine fail after a timeout and are cancelled at the engine when it answers again")
{
    AgentScenario scenario("drafter-1");
    scenario.fromEngine(reportOf(1));
    scenario.submit(1);
    scenario.tokens(1, 0, 4);
    scenario.fromEngine(EngineUnreachable {});
    scenario.advanceTime(Seconds(6));
    CHECK(scenario.sent<GenerationFailed>().size() == 1);
    CHECK(scenario.commands<EngineCancel>().empty());
    scenario.fromEngine(reportOf(1));
    CHECK(scenario.commands<EngineCancel>().size() == 1);
}

TEST_CASE("a generation without a linked entry is cancelled at the engine after the grace time")
{
    AgentScenario scenario("drafter-1");
    scenario.submit(1);
    scenario.tokens(1, 0, 4);
    scenario.deliver(EntryLinkDown { AgentScenario::entry });
    scenario.advanceTime(Seconds(31));
    CHECK(scenario.commands<EngineCancel>().size() == 1);
}

TEST_CASE("a planned stop refuses new work and finishes accepted work before the agent is drained")
{
    AgentScenario scenario("drafter-1");
    scenario.submit(1);
    scenario.submit(2);
    scenario.deliver(AgentStopRequested {});
    scenario.deliver(AgentStopRequested {});
    scenario.submit(3);
    CHECK(scenario.sent<GenerationRefused>().size() == 1);
    for (const std::uint64_t id : { 1, 2 }) {
        scenario.tokens(id, 0, 2);
        CHECK(scenario.count<AgentDrained>() == 0);
        scenario.fromEngine(EngineFinished { GenerationId(id), FinishReason::Stop });
        scenario.advanceTime(Milliseconds(100));
        CHECK(scenario.count<AgentDrained>() == 0);
        scenario.fromEntry(AcknowledgeTokens { GenerationId(id), 2 });
    }
    scenario.advanceTime(Milliseconds(100));
    CHECK(scenario.count<AgentDrained>() == 1);
}
