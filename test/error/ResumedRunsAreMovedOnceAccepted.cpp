#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

void drain(GatewayScenario& scenario, const EndpointId& engine)
{
    EndpointRecord record = GatewayScenario::engineEndpoint(engine.get());
    record.isDraining = true;
    scenario.handle(EndpointsChanged { { record }, {} });
}

/** Moves a stream off an engine that leaves. @return the exchange by which its stopped run resumes at the target. */
ExchangeParameters moveStream(GatewayScenario& scenario)
{
    scenario.start().disableReplicas();
    scenario.sendStream(8000);
    scenario.respond(GatewayScenario::streamStart());
    const ExchangeId exchange = scenario.lastExchange()->exchange;
    scenario.handle(EventsRelayed { exchange, 5 });
    drain(scenario, scenario.lastExchange()->endpoint);
    scenario.handle(MigrationResponseReceived { exchange, MigrationOutcome::Copied, KvCacheHandle("h1") });
    REQUIRE(scenario.lastAction<StartMigration>()->stopsSource);
    scenario.handle(MigrationResponseReceived { exchange, MigrationOutcome::Copied, KvCacheHandle("h2") })
        .handle(ExchangeEnded { exchange, ExchangeEnd::Broken });
    REQUIRE(scenario.lastExchange()->resume);
    scenario.clearActions();
    return *scenario.lastExchange();
}

}

// Guards against streams that end without their end when the engine that is to go on with a moved run leaves before it
// has answered: the way back to that engine took precedence over the copy that the second move had made.
TEST_CASE("A moved run whose new engine leaves before it answers is moved on once it has answered")
{
    for (const Milliseconds pause : { Milliseconds(0), Milliseconds(700) }) {
        CAPTURE(pause.count());
        GatewayScenario scenario;
        const ExchangeParameters second = moveStream(scenario);
        scenario.advance(pause).refreshFromStore();
        drain(scenario, second.endpoint);
        CHECK_FALSE(scenario.lastAction<StartMigration>());
        scenario.respond(GatewayScenario::streamStart());
        scenario.handle(EventsRelayed { second.exchange, 6 });
        const auto copy = scenario.lastAction<StartMigration>();
        REQUIRE(copy);
        CHECK(copy->source == second.address);
        CHECK_FALSE(copy->stopsSource);
        scenario.handle(MigrationResponseReceived { second.exchange, MigrationOutcome::Copied, KvCacheHandle("h3") });
        REQUIRE(scenario.lastAction<StartMigration>()->stopsSource);
        scenario.handle(ExchangeEnded { second.exchange, ExchangeEnd::Broken })
            .handle(MigrationResponseReceived { second.exchange, MigrationOutcome::Copied, KvCacheHandle("h4") });
        CHECK_FALSE(scenario.lastAction<AbortResponse>());
        REQUIRE(scenario.lastExchange()->resume);
        CHECK(scenario.lastExchange()->endpoint != second.endpoint);
        CHECK(scenario.lastExchange()->resume->handle == KvCacheHandle("h4"));
    }
}
