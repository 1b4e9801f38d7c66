#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

// Guards against engines that refuse a moved run because its handle comes with the address of the engine that holds the
// copy, while the handle is the source's: the run is stopped by then, and its stream is lost.
TEST_CASE("A run that was stopped for a migration resumes with the handle and the address of its source")
{
    GatewayScenario scenario;
    scenario.start().disableReplicas();
    scenario.sendStream(2000);
    scenario.respond(GatewayScenario::streamStart());
    const ExchangeParameters source = *scenario.lastExchange();
    scenario.handle(EventsRelayed { source.exchange, 5 });
    EndpointRecord leaving = GatewayScenario::engineEndpoint(source.endpoint.get());
    leaving.isDraining = true;
    scenario.handle(EndpointsChanged { { leaving }, {} });
    scenario.handle(MigrationResponseReceived { source.exchange, MigrationOutcome::Copied, KvCacheHandle("h1") });
    REQUIRE(scenario.lastAction<StartMigration>()->stopsSource);
    scenario.handle(ExchangeEnded { source.exchange, ExchangeEnd::Broken })
        .handle(MigrationResponseReceived { source.exchange, MigrationOutcome::Copied, KvCacheHandle("h2") });
    const ExchangeParameters resumed = *scenario.lastExchange();
    REQUIRE(resumed.resume);
    CHECK(resumed.endpoint != source.endpoint);
    CHECK(resumed.resume->holder == source.address);
    CHECK(resumed.resume->handle == KvCacheHandle("h2"));
}

// Guards against a replica that its holder does not find because it is asked for by another engine's address.
TEST_CASE("A stream that resumes from a replica names the engine that holds it")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.sendStream(2000);
    scenario.respond(GatewayScenario::streamStart());
    const ExchangeParameters source = *scenario.lastExchange();
    REQUIRE(source.replicaAddress);
    scenario.handle(EventsRelayed { source.exchange, 5 });
    scenario.loseEngine();
    REQUIRE(scenario.lastExchange()->resume);
    CHECK(scenario.lastExchange()->address == *source.replicaAddress);
    CHECK(scenario.lastExchange()->resume->holder == *source.replicaAddress);
}
