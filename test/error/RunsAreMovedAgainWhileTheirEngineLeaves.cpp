#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

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
        int calls = 0;
        while (calls < 20 && scenario.lastAction<StartMigration>()) {
            ++calls;
            scenario.clearActions();
            scenario.handle(MigrationResponseReceived { exchange, outcome, {} });
        }
        REQUIRE(calls == 4);
        for (std::uint64_t event = 2; event < 12; ++event)
            scenario.advance(Milliseconds(200)).handle(EventsRelayed { exchange, event });
        CHECK(scenario.lastAction<StartMigration>());
    }
}
