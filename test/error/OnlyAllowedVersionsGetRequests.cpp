// Endpoints of versions that no order allows, or that were given up, must get no requests, whenever a gateway starts.

#include "core/entry/Rendezvous.h"
#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

EndpointRecord withVersion(EndpointRecord record, const std::string& version)
{
    record.version = SoftwareVersion(version);
    return record;
}

const EndpointId established("p4");
const EndpointId ordered("p5");
const EndpointId stray("p6");

/** A gateway that knows one endpoint of each of three versions, and the order for the second one. */
GatewayScenario& startWithOrder(GatewayScenario& scenario)
{
    scenario.start();
    scenario.handle(EndpointsChanged { { withVersion(GatewayScenario::plainEndpoint("p4"), "v1"),
                                           withVersion(GatewayScenario::plainEndpoint("p5"), "v2"),
                                           withVersion(GatewayScenario::plainEndpoint("p6"), "v9") },
        {} });
    return scenario.handle(
        RolloutOrdersRead { { { ServiceId("plain"), SoftwareVersion("v2"), Milliseconds(12000) } }, {} });
}

RolloutsRead recordOf(RolloutState state)
{
    return { { { { ServiceId("plain"), SoftwareVersion("v2"), { SoftwareVersion("v1") }, state,
                     StoreTime(Milliseconds(1000)) },
                 StoreVersion(7) } },
        StoreTime(Milliseconds(4000)) };
}

}

TEST_CASE("Endpoints of any version get requests while no roll-out was ordered")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.handle(EndpointsChanged { { withVersion(GatewayScenario::plainEndpoint("p5"), "v2") }, {} });
    CHECK(scenario.endpointsUsed(60) == std::set<EndpointId> { established, ordered, stray });
}

TEST_CASE("A new version gets nothing before the store's record of the service is known")
{
    GatewayScenario scenario;
    startWithOrder(scenario);
    CHECK_FALSE(scenario.endpointsUsed(60).contains(ordered));
    CHECK(scenario.advance(Milliseconds(100)).lastAction<ReadRollouts>());
}

TEST_CASE("A gateway that starts after a roll-out keeps to its end")
{
    GatewayScenario reverted;
    startWithOrder(reverted).handle(recordOf(RolloutState::Reverted));
    CHECK(reverted.endpointsUsed(60) == std::set<EndpointId> { established });
    GatewayScenario completed;
    startWithOrder(completed).handle(recordOf(RolloutState::Completed));
    CHECK(completed.endpointsUsed(60) == std::set<EndpointId> { ordered });
}

TEST_CASE("A version that another gateway gave up gets nothing although the store does not know yet")
{
    GatewayScenario scenario;
    startWithOrder(scenario).handle(recordOf(RolloutState::InProgress));
    scenario.advance(Milliseconds(3000));
    GossipMessage gossip { GatewayId("gateway-2"), Incarnation(5), 1, false, false, {}, {} };
    RolloutReport report;
    report.rollout = rolloutHashOf({ ServiceId("plain"), SoftwareVersion("v2"), Milliseconds(0) });
    report.signal = RolloutSignal::Condemned;
    gossip.rollouts.push_back(report);
    scenario.handle(GossipReceived { gossip });
    CHECK(scenario.endpointsUsed(60) == std::set<EndpointId> { established });
    scenario.handle(RolloutStoreFailed { "status 503" });
    scenario.advance(Milliseconds(3000));
    const auto write = scenario.lastAction<WriteRollout>();
    REQUIRE(write);
    CHECK(write->record.state == RolloutState::Reverted);
    CHECK(write->expected == StoreVersion(7));
}

TEST_CASE("A stream at an old engine is moved when all requests go to the new version")
{
    GatewayScenario scenario;
    scenario.start().disableReplicas();
    for (const char* id : { "e7", "e8", "e9" })
        scenario.handle(EndpointsChanged { { withVersion(GatewayScenario::engineEndpoint(id), "v2") }, {} });
    scenario.handle(RolloutOrdersRead { { { ServiceId("engines"), SoftwareVersion("v2"), Milliseconds(12000) } }, {} });
    scenario.handle(RolloutsRead { {}, StoreTime(Milliseconds(4000)) });
    // Another gateway's answers show that the version is sound.
    GossipMessage gossip { GatewayId("gateway-2"), Incarnation(5), 1, false, false, {}, {} };
    RolloutReport report;
    report.rollout = rolloutHashOf({ ServiceId("engines"), SoftwareVersion("v2"), Milliseconds(0) });
    report.elapsed = Milliseconds(100);
    report.requests = 400;
    report.requestsToTarget = 30;
    const auto route = static_cast<std::uint32_t>(hashOf("draft"));
    report.counts.push_back({ 0, route, 300, 0, 0, Milliseconds(90000) });
    report.counts.push_back({ 77, route, 30, 0, 0, Milliseconds(9000) });
    gossip.rollouts.push_back(report);
    scenario.handle(GossipReceived { gossip });
    for (Milliseconds elapsed(0); elapsed < Milliseconds(9000); elapsed += Milliseconds(200))
        scenario.advance(Milliseconds(200)).refreshFromStore();
    scenario.sendStream(4000);
    scenario.respond(GatewayScenario::streamStart());
    const ExchangeParameters stream = *scenario.lastExchange();
    scenario.handle(EventsRelayed { stream.exchange, 1 });
    scenario.clearActions();
    for (Milliseconds elapsed(9000); elapsed < Milliseconds(11900); elapsed += Milliseconds(200)) {
        scenario.advance(Milliseconds(200)).refreshFromStore();
        if (scenario.lastAction<StartMigration>())
            break;
    }
    const auto move = scenario.lastAction<StartMigration>();
    REQUIRE(move);
    CHECK(move->exchange == stream.exchange);
    const std::set<std::string> newHosts { GatewayScenario::engineEndpoint("e7").address.host,
        GatewayScenario::engineEndpoint("e8").address.host, GatewayScenario::engineEndpoint("e9").address.host };
    CHECK(newHosts.contains(move->target.host));
}
