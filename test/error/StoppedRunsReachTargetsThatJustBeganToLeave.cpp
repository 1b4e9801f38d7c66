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

}

// Guards against streams that end without their end when the last copy takes a while and its target began to leave only
// a moment ago.
TEST_CASE("A stopped run reaches a target that began to leave a moment before the last copy was complete")
{
    GatewayScenario scenario;
    scenario.start().disableReplicas();
    scenario.sendStream(8000);
    scenario.respond(GatewayScenario::streamStart());
    const ExchangeParameters source = *scenario.lastExchange();
    scenario.handle(EventsRelayed { source.exchange, 5 });
    drain(scenario, source.endpoint);
    scenario.handle(MigrationResponseReceived { source.exchange, MigrationOutcome::Copied, KvCacheHandle("h1") });
    const auto stop = scenario.lastAction<StartMigration>();
    REQUIRE(stop);
    REQUIRE(stop->stopsSource);
    scenario.handle(ExchangeEnded { source.exchange, ExchangeEnd::Broken });
    scenario.advance(Milliseconds(600)).refreshFromStore();
    for (const char* engine : { "e1", "e2", "e3" })
        drain(scenario, EndpointId(engine));
    scenario.clearActions();
    scenario.handle(MigrationResponseReceived { source.exchange, MigrationOutcome::Copied, KvCacheHandle("h2") });
    CHECK_FALSE(scenario.lastAction<AbortResponse>());
    const auto next = scenario.lastAction<StartExchange>();
    REQUIRE(next);
    CHECK(next->parameters.address == stop->target);
}
