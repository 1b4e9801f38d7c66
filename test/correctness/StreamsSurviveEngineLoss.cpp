#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

/** Starts a stream and relays five events. @return its engine. */
EndpointId startStream(GatewayScenario& scenario)
{
    scenario.start();
    scenario.arrive("/draft/1");
    scenario.answer(GatewayScenario::streamStart());
    scenario.handle(EventsRelayed { scenario.lastOrder()->exchange, 5 });
    return scenario.lastOrder()->endpoint;
}

/** @return the change that marks an engine as draining. */
EndpointsChanged drainingChange(const EndpointId& endpoint)
{
    EndpointRecord record = GatewayScenario::engine(endpoint.get());
    record.isDraining = true;
    return { { record }, {} };
}

/** Drains the engine that holds the stream's replica, so that the replica cannot be used. */
void drainReplicaEngine(GatewayScenario& scenario)
{
    for (const char* name : { "e1", "e2", "e3" }) {
        const EndpointRecord record = GatewayScenario::engine(name);
        if (record.address == scenario.lastOrder()->replicaAt)
            scenario.handle(drainingChange(record.id));
    }
}

}

TEST_CASE("A broken stream resumes at the engine with its replica after the last relayed event")
{
    GatewayScenario scenario;
    const EndpointId first = startStream(scenario);
    const Address replica = *scenario.lastOrder()->replicaAt;
    scenario.end(ExchangeEnd::Broken);
    REQUIRE(scenario.lastOrder()->resume);
    CHECK(scenario.lastOrder()->endpoint != first);
    CHECK(scenario.lastOrder()->address == replica);
    CHECK(scenario.lastOrder()->resume->lastEventId == 5);
    CHECK(scenario.lastOrder()->resume->handle == KvCacheHandle("caller-1"));
}

TEST_CASE("A stream without a replica is copied while it runs, then stopped and resumed elsewhere")
{
    GatewayScenario scenario;
    const EndpointId first = startStream(scenario);
    const ExchangeId exchange = scenario.lastOrder()->exchange;
    drainReplicaEngine(scenario);
    scenario.clearActions();
    scenario.handle(drainingChange(first));
    const auto copying = scenario.lastAction<StartMigration>();
    REQUIRE(copying);
    CHECK_FALSE(copying->stopsSource);

    scenario.clearActions();
    scenario.handle(MigrationResponseReceived { exchange, MigrationOutcome::Copied, KvCacheHandle("h1") });
    const auto finishing = scenario.lastAction<StartMigration>();
    REQUIRE(finishing);
    CHECK(finishing->stopsSource);
    CHECK(finishing->target == copying->target);

    // The last events and the end of the old stream may come before or after the answer to the copy call.
    scenario.clearActions();
    scenario.handle(MigrationResponseReceived { exchange, MigrationOutcome::Copied, KvCacheHandle("h2") });
    CHECK_FALSE(scenario.lastAction<StartExchange>());
    scenario.handle(EventsRelayed { exchange, 7 });
    scenario.handle(ExchangeEnded { exchange, ExchangeEnd::Broken });
    REQUIRE(scenario.lastAction<StartExchange>());
    CHECK(scenario.lastOrder()->resume->handle == KvCacheHandle("h2"));
    CHECK(scenario.lastOrder()->resume->lastEventId == 7);
    CHECK(scenario.lastOrder()->address == copying->target);
}

TEST_CASE("A stream whose engine crashes during the migration resumes from the last copy")
{
    GatewayScenario scenario;
    const EndpointId first = startStream(scenario);
    const ExchangeId exchange = scenario.lastOrder()->exchange;
    drainReplicaEngine(scenario);
    scenario.handle(drainingChange(first))
        .handle(MigrationResponseReceived { exchange, MigrationOutcome::Copied, KvCacheHandle("h1") });
    scenario.clearActions();
    scenario.handle(ExchangeEnded { exchange, ExchangeEnd::Broken });
    CHECK_FALSE(scenario.lastAction<StartExchange>());
    scenario.handle(MigrationResponseReceived { exchange, MigrationOutcome::Failed, {} });
    REQUIRE(scenario.lastAction<StartExchange>());
    CHECK(scenario.lastOrder()->resume->handle == KvCacheHandle("h1"));
}

TEST_CASE("The answer of a broken stream without a copy is cut, not completed")
{
    GatewayScenario scenario;
    startStream(scenario);
    drainReplicaEngine(scenario);
    scenario.clearActions();
    scenario.end(ExchangeEnd::Broken);
    CHECK(scenario.lastAction<AbortResponse>());
    CHECK_FALSE(scenario.lastAction<StartExchange>());
}

TEST_CASE("A migration ends when the caller disconnects")
{
    GatewayScenario scenario;
    const EndpointId first = startStream(scenario);
    const ExchangeId exchange = scenario.lastOrder()->exchange;
    drainReplicaEngine(scenario);
    scenario.handle(drainingChange(first)).clearActions();
    scenario.handle(RequestAbandoned { RequestId(1) });
    CHECK(scenario.lastAction<CancelExchange>());
    scenario.handle(MigrationResponseReceived { exchange, MigrationOutcome::Copied, KvCacheHandle("h1") });
    CHECK_FALSE(scenario.lastAction<StartExchange>());
}

TEST_CASE("A stream at a draining engine is migrated from its first event on")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.arrive("/draft/1");
    const EndpointId first = scenario.lastOrder()->endpoint;
    const ExchangeId exchange = scenario.lastOrder()->exchange;
    drainReplicaEngine(scenario);
    scenario.handle(drainingChange(first));
    CHECK_FALSE(scenario.lastAction<StartMigration>());
    scenario.handle(ResponseReceived { exchange, GatewayScenario::streamStart() });
    scenario.handle(EventsRelayed { exchange, 1 });
    const auto copying = scenario.lastAction<StartMigration>();
    REQUIRE(copying);
    CHECK(copying->exchange == exchange);
    CHECK_FALSE(copying->stopsSource);
}

TEST_CASE("A migration without room at one target is tried at another target")
{
    GatewayScenario scenario;
    const EndpointId first = startStream(scenario);
    const ExchangeId exchange = scenario.lastOrder()->exchange;
    drainReplicaEngine(scenario);
    scenario.handle(EndpointsChanged { { GatewayScenario::engine("e7") }, {} });
    scenario.handle(drainingChange(first));
    const auto refused = scenario.lastAction<StartMigration>();
    REQUIRE(refused);
    scenario.handle(MigrationResponseReceived { exchange, MigrationOutcome::NoRoom, {} });
    const auto second = scenario.lastAction<StartMigration>();
    REQUIRE(second);
    CHECK(second->target != refused->target);
}

TEST_CASE("A stream migrates to another zone when its own zone has no other engine")
{
    GatewayScenario scenario;
    const EndpointId first = startStream(scenario);
    scenario.handle(EndpointsChanged { { GatewayScenario::engine("e7", "south") }, {} });
    for (const char* name : { "e1", "e2", "e3" }) {
        if (EndpointId(name) != first)
            scenario.handle(drainingChange(EndpointId(name)));
    }
    scenario.handle(drainingChange(first));
    const auto move = scenario.lastAction<StartMigration>();
    REQUIRE(move);
    CHECK(move->target == GatewayScenario::engine("e7").address);
}

TEST_CASE("A slow copy is repeated before the run is stopped")
{
    GatewayScenario scenario;
    const EndpointId first = startStream(scenario);
    const ExchangeId exchange = scenario.lastOrder()->exchange;
    drainReplicaEngine(scenario);
    scenario.handle(drainingChange(first)).advance(Milliseconds(200)).clearActions();
    scenario.handle(MigrationResponseReceived { exchange, MigrationOutcome::Copied, KvCacheHandle("h1") });
    auto copying = scenario.lastAction<StartMigration>();
    REQUIRE(copying);
    CHECK_FALSE(copying->stopsSource);
    scenario.advance(Milliseconds(10)).clearActions();
    scenario.handle(MigrationResponseReceived { exchange, MigrationOutcome::Copied, KvCacheHandle("h2") });
    const auto finishing = scenario.lastAction<StartMigration>();
    REQUIRE(finishing);
    CHECK(finishing->stopsSource);
}

TEST_CASE("No replica is placed where it would take space that running streams need")
{
    GatewayScenario scenario;
    scenario.start();
    int replicated = 0;
    int streams = 0;
    for (; streams < 60; ++streams) {
        scenario.arrive("/draft/1");
        replicated += scenario.lastOrder()->replicaAt ? 1 : 0;
    }
    CHECK(replicated > 0);
    CHECK(replicated < streams);
    CHECK_FALSE(scenario.lastOrder()->replicaAt);
}

TEST_CASE("Copying over slow links ends after some calls, and the last copy is used when the stream breaks")
{
    GatewayScenario scenario;
    const EndpointId first = startStream(scenario);
    const ExchangeId exchange = scenario.lastOrder()->exchange;
    drainReplicaEngine(scenario);
    scenario.handle(drainingChange(first));
    int calls = 0;
    constexpr int bound = 50;
    while (calls < bound && scenario.lastAction<StartMigration>()) {
        ++calls;
        scenario.advance(Milliseconds(100)).clearActions();
        scenario.handle(MigrationResponseReceived {
            exchange, MigrationOutcome::Copied, KvCacheHandle("h" + std::to_string(calls)) });
    }
    CHECK(calls < bound);
    scenario.handle(ExchangeEnded { exchange, ExchangeEnd::Broken });
    REQUIRE(scenario.lastAction<StartExchange>());
    CHECK(scenario.lastOrder()->resume->handle == KvCacheHandle("h" + std::to_string(calls)));
}
