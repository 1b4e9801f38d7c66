#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

EndpointRecord recordOf(const Address& address)
{
    for (const char* name : { "e1", "e2", "e3", "e7", "e8" }) {
        if (GatewayScenario::engineEndpoint(name).address == address)
            return GatewayScenario::engineEndpoint(name);
    }
    return {};
}

/** Starts a stream without a replica and relays events. @return its exchange. */
ExchangeParameters startStream(GatewayScenario& scenario, std::uint64_t events)
{
    scenario.start().disableReplicas();
    scenario.sendRequest("/draft/1");
    scenario.respond(GatewayScenario::streamStart());
    const ExchangeParameters exchange = *scenario.lastExchange();
    for (std::uint64_t event = 1; event <= events; ++event)
        scenario.advance(Milliseconds(40)).handle(EventsRelayed { exchange.exchange, event });
    return exchange;
}

void leave(GatewayScenario& scenario, EndpointRecord engine)
{
    engine.isDraining = true;
    scenario.clearActions();
    scenario.handle(EndpointsChanged { { engine }, {} });
}

}

// Guards against a copy that is thrown away because a later call, or another target, failed. Load: an engine with more
// runs than its link can move in two seconds, so that most last calls come too late.
TEST_CASE("A run goes on from an earlier copy when its later moves fail")
{
    for (const MigrationOutcome outcome :
        { MigrationOutcome::Failed, MigrationOutcome::NoRoom, MigrationOutcome::Unreachable }) {
        CAPTURE(static_cast<int>(outcome));
        GatewayScenario scenario;
        const ExchangeParameters source = startStream(scenario, 3);
        leave(scenario, recordOf(source.address));
        REQUIRE(scenario.lastAction<StartMigration>());
        const EndpointRecord target = recordOf(scenario.lastAction<StartMigration>()->target);
        // A slow copy, so that the run is not stopped yet.
        scenario.advance(Milliseconds(100));
        scenario.handle(MigrationResponseReceived { source.exchange, MigrationOutcome::Copied, KvCacheHandle("h1") });
        scenario.handle(MigrationResponseReceived { source.exchange, outcome, {} });
        REQUIRE(scenario.lastAction<StartMigration>()->target != target.address);
        scenario.endExchange(ExchangeEnd::Broken);
        scenario.handle(MigrationResponseReceived { source.exchange, MigrationOutcome::Failed, {} });
        CHECK_FALSE(scenario.lastAction<StartExchange>());
        scenario.handle(MigrationResponseReceived { source.exchange, MigrationOutcome::Unreachable, {} });
        REQUIRE(scenario.lastAction<StartExchange>());
        CHECK(scenario.lastExchange()->endpoint == target.id);
        CHECK(scenario.lastExchange()->resume->handle == KvCacheHandle("h1"));
        CHECK(scenario.lastExchange()->resume->lastEventId == 3);
        CHECK_FALSE(scenario.lastAction<AbortResponse>());
    }
}

// Guards against a stream that is lost since the connection to the engine with its replica is reset before anything
// was sent. Load: many runs that resume at one engine in a moment.
TEST_CASE("A resumption that was not connected is tried again")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.sendRequest("/draft/1");
    scenario.respond(GatewayScenario::streamStart());
    scenario.handle(EventsRelayed { scenario.lastExchange()->exchange, 5 });
    const Address replica = *scenario.lastExchange()->replicaAddress;
    scenario.loseEngine();
    REQUIRE(scenario.lastExchange()->resume);
    scenario.clearActions();
    scenario.endExchange(ExchangeEnd::NotConnected);
    REQUIRE(scenario.lastAction<StartExchange>());
    CHECK(scenario.lastExchange()->address == replica);
    CHECK(scenario.lastExchange()->resume->lastEventId == 5);
    CHECK_FALSE(scenario.lastAction<AbortResponse>());
    scenario.clearActions();
    scenario.endExchange(ExchangeEnd::Broken);
    CHECK_FALSE(scenario.lastAction<StartExchange>());
    CHECK(scenario.lastAction<AbortResponse>());
}

// Guards against runs that end with their engine though they have grown beyond what their callers expected.
TEST_CASE("A run that is longer than expected is moved before its engine ends")
{
    GatewayScenario scenario;
    scenario.start().disableReplicas();
    scenario.sendStream(8);
    scenario.respond(GatewayScenario::streamStart());
    const ExchangeParameters source = *scenario.lastExchange();
    leave(scenario, recordOf(source.address));
    for (std::uint64_t event = 1; event <= 40; ++event)
        scenario.advance(Milliseconds(50)).handle(EventsRelayed { source.exchange, event });
    CHECK(scenario.lastAction<StartMigration>());
}

// Guards against runs that are given up since their zone has no room, while other zones have. Load: a sixth of the
// engines reclaimed at once while the rest of the zone is full.
TEST_CASE("A run is moved to another zone when the engines of its zone have no room")
{
    GatewayScenario scenario;
    for (const char* name : { "e7", "e8" })
        scenario.handle(EndpointsChanged { { GatewayScenario::engineEndpoint(name, "south") }, {} });
    scenario.start().disableReplicas();
    for (const char* name : { "e7", "e8" })
        scenario.handle(EndpointsChanged { { GatewayScenario::engineEndpoint(name, "south") }, {} });
    scenario.sendRequest("/draft/1");
    scenario.respond(GatewayScenario::streamStart());
    const ExchangeParameters source = *scenario.lastExchange();
    scenario.handle(EventsRelayed { source.exchange, 1 });
    const bool startedInNorth = source.endpoint.get() < "e7";
    const std::size_t othersInZone = startedInNorth ? 2 : 1;
    EndpointRecord leaving = GatewayScenario::engineEndpoint(source.endpoint.get(), startedInNorth ? "north" : "south");
    leave(scenario, leaving);
    const auto zoneOf = [](const Address& address) { return recordOf(address).id.get() < "e7"; };
    for (std::size_t target = 0; target < othersInZone; ++target) {
        CHECK(zoneOf(scenario.lastAction<StartMigration>()->target) == startedInNorth);
        scenario.handle(MigrationResponseReceived { source.exchange, MigrationOutcome::NoRoom, {} });
    }
    CHECK(zoneOf(scenario.lastAction<StartMigration>()->target) != startedInNorth);
}
