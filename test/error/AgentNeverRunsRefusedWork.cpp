#include "support/AgentScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("a generation that was reported as unknown or cancelled before its submission never runs")
{
    AgentScenario scenario("drafter-1");
    scenario.fromEntry(ResumeGeneration { GenerationId(1), TeamId("huye"), 0 });
    scenario.fromEntry(CancelGeneration { GenerationId(2) });
    CHECK(scenario.sent<GenerationUnknown>().size() == 2);
    scenario.submit(1);
    scenario.submit(2);
    CHECK(scenario.sent<GenerationRefused>().size() == 2);
    CHECK(scenario.commands<EngineStart>().empty());
}

TEST_CASE("a generation whose deadline passes in the queue is refused and never started")
{
    AgentScenario scenario("drafter-1");
    scenario.submit(1);
    scenario.submit(2, Milliseconds(300));
    CHECK(scenario.commands<EngineStart>().size() == 1);
    scenario.advanceTime(Milliseconds(400));
    REQUIRE(scenario.sent<GenerationRefused>().size() == 1);
    CHECK(scenario.sent<GenerationRefused>()[0].code == ErrorCode::DeadlineExceeded);
    scenario.tokens(1, 0, 1);
    scenario.fromEngine(EngineFinished { GenerationId(1), FinishReason::Stop });
    scenario.submit(2);
    scenario.advanceTime(Milliseconds(200));
    CHECK(scenario.commands<EngineStart>().size() == 1);
}

TEST_CASE("a generation refused by the engine is queued again, and refused as not run after the last attempt")
{
    AgentScenario scenario("drafter-1");
    scenario.submit(1);
    for (std::uint32_t refusal = 0; refusal < AgentLimits().maxEngineRefusals; ++refusal) {
        CHECK(scenario.commands<EngineStart>().size() == refusal + 1);
        scenario.fromEngine(EngineRefused { GenerationId(1), "full" });
        scenario.advanceTime(Milliseconds(300));
    }
    CHECK(scenario.sent<GenerationRefused>().size() == 1);
    CHECK(scenario.commands<EngineStart>().size() == AgentLimits().maxEngineRefusals);
}

TEST_CASE("an order that takes the zone out applies at once and is forwarded, and running work continues")
{
    AgentScenario scenario("drafter-1");
    const EntryId other("entry-2");
    scenario.deliver(EntryLinkUp { other });
    scenario.submit(1);
    ServiceOrder out;
    out.subject = ZoneId("kgl-a");
    out.sequence = 1;
    out.out = true;
    scenario.fromEntry(OrdersDelivery { { out } });
    CHECK(scenario.sent<OrdersDelivery>(other).size() == 1);
    CHECK(scenario.sent<LoadReport>(other).back().leaving);
    scenario.submit(2);
    REQUIRE(scenario.sent<GenerationRefused>().size() == 1);
    CHECK(scenario.sent<GenerationRefused>()[0].code == ErrorCode::OutOfService);
    scenario.tokens(1, 0, 1);
    scenario.fromEngine(EngineFinished { GenerationId(1), FinishReason::Stop });
    CHECK(scenario.sent<GenerationFinished>().size() == 1);
}

TEST_CASE("after a pause no work is accepted or started until a fresh heartbeat arrives")
{
    AgentScenario scenario("drafter-1");
    scenario.submit(1);
    scenario.submit(2);
    scenario.now += Seconds(30);
    scenario.fromEntry(EntryHeartbeat { ReleaseVersion(3), 0 });
    scenario.submit(3);
    REQUIRE(scenario.sent<GenerationRefused>().size() == 1);
    CHECK(scenario.sent<GenerationRefused>()[0].code == ErrorCode::NotReady);
    scenario.tokens(1, 0, 1);
    scenario.fromEngine(EngineFinished { GenerationId(1), FinishReason::Stop });
    CHECK(scenario.commands<EngineStart>().size() == 1);
    scenario.advanceTime(Milliseconds(400));
    scenario.fromEntry(EntryHeartbeat { ReleaseVersion(3), 0 });
    CHECK(scenario.commands<EngineStart>().size() == 2);
}

TEST_CASE("an older fleet version is never adopted, and an entry that is behind gets the newer one")
{
    AgentScenario scenario("drafter-1");
    Fleet olderFleet = AgentScenario::fleet("unlimited");
    olderFleet.version = ReleaseVersion(2);
    scenario.fromEntry(FleetCopy { olderFleet });
    scenario.fromEntry(EntryHeartbeat { ReleaseVersion(1), 0 });
    REQUIRE(scenario.sent<FleetCopy>().size() == 1);
    CHECK(scenario.sent<FleetCopy>()[0].fleet.version == ReleaseVersion(3));
}
