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

TEST_CASE("a broken stream is asked for again at the next token, a few times")
{
    AgentScenario scenario("drafter-1");
    scenario.submit(1);
    scenario.tokens(1, 0, 4);
    for (std::uint32_t loss = 0; loss <= AdmissionLimits().streamResumes; ++loss) {
        scenario.fromEngine(EngineStreamLost { GenerationId(1) });
        scenario.pass(Milliseconds(1100));
    }
    const auto resumes = scenario.commands<EngineResume>();
    CHECK(resumes.size() == AdmissionLimits().streamResumes);
    CHECK(resumes.back() == EngineResume { GenerationId(1), 4 });
    REQUIRE(scenario.sent<GenerationFailed>().size() == 1);
    CHECK(scenario.sent<GenerationFailed>()[0].failure.run == Executed::Yes);
    CHECK(scenario.commands<EngineStart>().size() == 1);
}

TEST_CASE("a restart of the engine fails what ran, turns the endpoint cold and never runs the work again")
{
    AgentScenario scenario("drafter-1");
    scenario.fromEngine(reportOf(1));
    scenario.submit(1);
    scenario.tokens(1, 0, 4);
    scenario.pass(Seconds(5));
    scenario.fromEngine(reportOf(1));
    scenario.fromEngine(reportOf(2));
    CHECK(scenario.sent<GenerationFailed>().size() == 1);
    scenario.tokens(1, 4, 4);
    scenario.pass(Seconds(1));
    CHECK(scenario.sent<GenerationTokens>().size() == 1);
    CHECK(scenario.commands<EngineStart>().size() == 1);
    CHECK(scenario.sent<LoadReport>().back().cold);
}

TEST_CASE("a silent engine loses its work after a time, and is told to cancel it when it answers again")
{
    AgentScenario scenario("drafter-1");
    scenario.fromEngine(reportOf(1));
    scenario.submit(1);
    scenario.tokens(1, 0, 4);
    scenario.fromEngine(EngineUnreachable {});
    scenario.pass(Seconds(6));
    CHECK(scenario.sent<GenerationFailed>().size() == 1);
    CHECK(scenario.commands<EngineCancel>().empty());
    scenario.fromEngine(reportOf(1));
    CHECK(scenario.commands<EngineCancel>().size() == 1);
}

TEST_CASE("a generation that no entry asks for any more is cancelled at the engine")
{
    AgentScenario scenario("drafter-1");
    scenario.submit(1);
    scenario.tokens(1, 0, 4);
    scenario.give(EntryLinkDown { AgentScenario::entry });
    scenario.pass(Seconds(31));
    CHECK(scenario.commands<EngineCancel>().size() == 1);
}

TEST_CASE("a planned stop takes nothing new and ends all that was taken before")
{
    AgentScenario scenario("drafter-1");
    scenario.submit(1);
    scenario.submit(2);
    scenario.give(AgentStopRequested {});
    scenario.give(AgentStopRequested {});
    scenario.submit(3);
    CHECK(scenario.sent<GenerationRefused>().size() == 1);
    for (const std::uint64_t id : { 1, 2 }) {
        scenario.tokens(id, 0, 2);
        CHECK(scenario.count<AgentDrained>() == 0);
        scenario.fromEngine(EngineFinished { GenerationId(id), FinishReason::Stop });
        scenario.pass(Milliseconds(100));
        CHECK(scenario.count<AgentDrained>() == 0);
        scenario.fromEntry(AcknowledgeTokens { GenerationId(id), 2 });
    }
    scenario.pass(Milliseconds(100));
    CHECK(scenario.count<AgentDrained>() == 1);
}
