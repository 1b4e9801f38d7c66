#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

// Guards against runs that a process stops at their engine in its last moments, when it cannot resume them any more.
TEST_CASE("A gateway whose stop is complete starts no migration and stops no run for one")
{
    GatewayLimits limits;
    limits.stopLimit = Milliseconds(3000);
    GatewayScenario scenario(limits);
    scenario.start().disableReplicas();
    scenario.sendRequest("/draft/1");
    scenario.respond(GatewayScenario::streamStart());
    const ExchangeId moving = scenario.lastExchange()->exchange;
    EndpointRecord source = GatewayScenario::engineEndpoint(scenario.lastExchange()->endpoint.get());
    scenario.handle(EventsRelayed { moving, 5 }).handle(GatewayStopRequested { scenario.now() });
    scenario.advance(Milliseconds(2990));
    source.isDraining = true;
    scenario.handle(EndpointsChanged { { source }, {} });
    const auto copying = scenario.lastAction<StartMigration>();
    REQUIRE_FALSE((copying && copying->stopsSource));
    scenario.advance(Milliseconds(10)).clearActions();
    REQUIRE(scenario.gatewayUnderTest().isStopComplete());
    scenario.handle(MigrationResponseReceived { moving, MigrationOutcome::Copied, KvCacheHandle("h1") });
    CHECK_FALSE(scenario.lastAction<StartMigration>());
}
