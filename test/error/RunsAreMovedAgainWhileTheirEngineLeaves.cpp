#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

/** Answers copy calls with the outcome until no other one follows. @return the number of calls. */
int failAllTries(GatewayScenario& scenario, ExchangeId exchange, MigrationOutcome outcome)
{
    int calls = 0;
    while (calls < 20 && scenario.lastAction<StartMigration>()) {
        ++calls;
        scenario.clearActions();
        scenario.handle(MigrationResponseReceived { exchange, outcome, {} });
    }
    return calls;
}

}

// Guards against streams that end with their leaving engine, seconds after all tries to move them failed at once.
TEST_CASE("A run whose migrations failed is tried again while its leaving engine goes on with it")
{
    for (const MigrationOutcome outcome : { MigrationOutcome::Failed, MigrationOutcome::NoRoom }) {
        CAPTURE(static_cast<int>(outcome));
        GatewayScenario scenario;
        scenario.start().disableReplicas();
        for (const char* name : { "e7", "e8" })
            scenario.handle(EndpointsChanged { { GatewayScenario::engineEndpoint(name) }, {} });
        scenario.sendRequest("/draft/1");
        scenario.respond(GatewayScenario::streamStart());
        const ExchangeId exchange = scenario.lastExchange()->exchange;
        scenario.handle(EventsRelayed { exchange, 1 });
        EndpointRecord source = GatewayScenario::engineEndpoint(scenario.lastExchange()->endpoint.get());
        source.isDraining = true;
        scenario.handle(EndpointsChanged { { source }, {} });
        REQUIRE(failAllTries(scenario, exchange, outcome) == 4);
        for (std::uint64_t event = 2; event < 12; ++event)
            scenario.advance(Milliseconds(200)).handle(EventsRelayed { exchange, event });
        CHECK(scenario.lastAction<StartMigration>());
    }
}

// Guards against runs that are not moved any more because all of their few targets failed once.
TEST_CASE("A run whose only two targets failed is tried again")
{
    GatewayScenario scenario;
    scenario.start().disableReplicas();
    scenario.sendRequest("/draft/1");
    scenario.respond(GatewayScenario::streamStart());
    const ExchangeId exchange = scenario.lastExchange()->exchange;
    scenario.handle(EventsRelayed { exchange, 1 });
    EndpointRecord source = GatewayScenario::engineEndpoint(scenario.lastExchange()->endpoint.get());
    source.isDraining = true;
    scenario.handle(EndpointsChanged { { source }, {} });
    REQUIRE(failAllTries(scenario, exchange, MigrationOutcome::Failed) == 2);
    for (std::uint64_t event = 2; event < 5; ++event)
        scenario.advance(Milliseconds(200)).handle(EventsRelayed { exchange, event });
    CHECK(scenario.lastAction<StartMigration>());
}

// Guards against a copy that is thrown away because its target was out of use for a moment.
TEST_CASE("A run keeps its copy while its only target is out of use, and is moved there when it is back")
{
    GatewayScenario scenario;
    scenario.start().disableReplicas();
    scenario.sendRequest("/draft/1");
    scenario.respond(GatewayScenario::streamStart());
    const ExchangeId exchange = scenario.lastExchange()->exchange;
    scenario.handle(EventsRelayed { exchange, 1 });
    EndpointRecord source = GatewayScenario::engineEndpoint(scenario.lastExchange()->endpoint.get());
    source.isDraining = true;
    scenario.handle(EndpointsChanged { { source }, { EndpointId(source.id.get() == "e1" ? "e2" : "e1") } });
    REQUIRE(scenario.lastAction<StartMigration>());
    scenario.handle(OutOfServiceZonesRead { { ZoneId("north") } });
    scenario.handle(MigrationResponseReceived { exchange, MigrationOutcome::Copied, KvCacheHandle("h1") });
    scenario.handle(OutOfServiceZonesRead { {} }).clearActions();

    SUBCASE("the engine breaks off at once")
    {
        scenario.loseEngine();
        REQUIRE(scenario.lastAction<StartExchange>());
        CHECK(scenario.lastExchange()->resume->handle == KvCacheHandle("h1"));
    }
    SUBCASE("the engine goes on")
    {
        for (std::uint64_t event = 2; event < 5; ++event)
            scenario.advance(Milliseconds(200)).handle(EventsRelayed { exchange, event });
        CHECK(scenario.lastAction<StartMigration>());
    }
}
