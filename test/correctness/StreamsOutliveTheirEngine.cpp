#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

/** A stream runs and five events went on. */
EndpointId beginStream(GatewayScenario& scenario)
{
    scenario.start();
    scenario.arrive("/draft/1");
    scenario.answer(GatewayScenario::stream());
    scenario.give(EventsRelayed { scenario.lastOrder()->exchange, 5 });
    return scenario.lastOrder()->endpoint;
}

EndpointsChanged draining(const EndpointId& endpoint)
{
    EndpointRecord record = GatewayScenario::engine(endpoint.get());
    record.isDraining = true;
    return { { record }, {} };
}

/** The engine that keeps the replica leaves, so that the stream has none any more. */
void loseReplica(GatewayScenario& scenario)
{
    for (const char* name : { "e1", "e2", "e3" }) {
        const EndpointRecord record = GatewayScenario::engine(name);
        if (record.address == scenario.lastOrder()->replicaAt)
            scenario.give(draining(record.id));
    }
}

}

TEST_CASE("A stream goes on at the engine with its replica, after the last event that its caller has")
{
    GatewayScenario scenario;
    const EndpointId first = beginStream(scenario);
    const Address replica = *scenario.lastOrder()->replicaAt;
    scenario.end(ExchangeEnd::Broken);
    REQUIRE(scenario.lastOrder()->resume);
    CHECK(scenario.lastOrder()->endpoint != first);
    CHECK(scenario.lastOrder()->address == replica);
    CHECK(scenario.lastOrder()->resume->lastEventId == 5);
    CHECK(scenario.lastOrder()->resume->handle == KvCacheHandle("caller-1"));
}

TEST_CASE("A stream without a replica is copied while it runs, stopped, and goes on elsewhere")
{
    GatewayScenario scenario;
    const EndpointId first = beginStream(scenario);
    const ExchangeId exchange = scenario.lastOrder()->exchange;
    loseReplica(scenario);
    scenario.forget();
    scenario.give(draining(first));
    const auto copying = scenario.take<StartMigration>();
    REQUIRE(copying);
    CHECK_FALSE(copying->stopsSource);

    scenario.forget();
    scenario.give(MigrationResponseReceived { exchange, MigrationOutcome::Copied, KvCacheHandle("h1") });
    const auto finishing = scenario.take<StartMigration>();
    REQUIRE(finishing);
    CHECK(finishing->stopsSource);
    CHECK(finishing->target == copying->target);

    // The last events and the end of the old stream come before or after the answer to the move.
    scenario.forget();
    scenario.give(MigrationResponseReceived { exchange, MigrationOutcome::Copied, KvCacheHandle("h2") });
    CHECK_FALSE(scenario.take<StartExchange>());
    scenario.give(EventsRelayed { exchange, 7 });
    scenario.give(ExchangeEnded { exchange, ExchangeEnd::Broken });
    REQUIRE(scenario.take<StartExchange>());
    CHECK(scenario.lastOrder()->resume->handle == KvCacheHandle("h2"));
    CHECK(scenario.lastOrder()->resume->lastEventId == 7);
    CHECK(scenario.lastOrder()->address == copying->target);
}

TEST_CASE("A stream whose engine dies during the move goes on from the copy that there is")
{
    GatewayScenario scenario;
    const EndpointId first = beginStream(scenario);
    const ExchangeId exchange = scenario.lastOrder()->exchange;
    loseReplica(scenario);
    scenario.give(draining(first))
        .give(MigrationResponseReceived { exchange, MigrationOutcome::Copied, KvCacheHandle("h1") });
    scenario.forget();
    scenario.give(ExchangeEnded { exchange, ExchangeEnd::Broken });
    CHECK_FALSE(scenario.take<StartExchange>());
    scenario.give(MigrationResponseReceived { exchange, MigrationOutcome::Failed, {} });
    REQUIRE(scenario.take<StartExchange>());
    CHECK(scenario.lastOrder()->resume->handle == KvCacheHandle("h1"));
}

TEST_CASE("A stream that nobody has a copy of ends visibly cut")
{
    GatewayScenario scenario;
    beginStream(scenario);
    loseReplica(scenario);
    scenario.forget();
    scenario.end(ExchangeEnd::Broken);
    CHECK(scenario.take<AbortResponse>());
    CHECK_FALSE(scenario.take<StartExchange>());
}

TEST_CASE("A caller that leaves during a move ends it")
{
    GatewayScenario scenario;
    const EndpointId first = beginStream(scenario);
    const ExchangeId exchange = scenario.lastOrder()->exchange;
    loseReplica(scenario);
    scenario.give(draining(first)).forget();
    scenario.give(RequestAbandoned { RequestId(1) });
    CHECK(scenario.take<CancelExchange>());
    scenario.give(MigrationResponseReceived { exchange, MigrationOutcome::Copied, KvCacheHandle("h1") });
    CHECK_FALSE(scenario.take<StartExchange>());
}

TEST_CASE("A stream whose first event comes from an engine that leaves is handed over then")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.arrive("/draft/1");
    const EndpointId first = scenario.lastOrder()->endpoint;
    const ExchangeId exchange = scenario.lastOrder()->exchange;
    loseReplica(scenario);
    scenario.give(draining(first));
    CHECK_FALSE(scenario.take<StartMigration>());
    scenario.give(ResponseReceived { exchange, GatewayScenario::stream() });
    scenario.give(EventsRelayed { exchange, 1 });
    const auto copying = scenario.take<StartMigration>();
    REQUIRE(copying);
    CHECK(copying->exchange == exchange);
    CHECK_FALSE(copying->stopsSource);
}

TEST_CASE("A stream that found no room at one engine is offered to another one")
{
    GatewayScenario scenario;
    const EndpointId first = beginStream(scenario);
    const ExchangeId exchange = scenario.lastOrder()->exchange;
    loseReplica(scenario);
    scenario.give(EndpointsChanged { { GatewayScenario::engine("e7") }, {} });
    scenario.give(draining(first));
    const auto refused = scenario.take<StartMigration>();
    REQUIRE(refused);
    scenario.give(MigrationResponseReceived { exchange, MigrationOutcome::NoRoom, {} });
    const auto second = scenario.take<StartMigration>();
    REQUIRE(second);
    CHECK(second->target != refused->target);
}

TEST_CASE("Where no engine of the zone is left, a stream goes to another zone")
{
    GatewayScenario scenario;
    const EndpointId first = beginStream(scenario);
    scenario.give(EndpointsChanged { { GatewayScenario::engine("e7", "south") }, {} });
    for (const char* name : { "e1", "e2", "e3" }) {
        if (EndpointId(name) != first)
            scenario.give(draining(EndpointId(name)));
    }
    scenario.give(draining(first));
    const auto move = scenario.take<StartMigration>();
    REQUIRE(move);
    CHECK(move->target == GatewayScenario::engine("e7").address);
}

TEST_CASE("A copy that waited for other transfers is brought up to date before the run stops")
{
    GatewayScenario scenario;
    const EndpointId first = beginStream(scenario);
    const ExchangeId exchange = scenario.lastOrder()->exchange;
    loseReplica(scenario);
    scenario.give(draining(first)).pass(Milliseconds(200)).forget();
    scenario.give(MigrationResponseReceived { exchange, MigrationOutcome::Copied, KvCacheHandle("h1") });
    auto copying = scenario.take<StartMigration>();
    REQUIRE(copying);
    CHECK_FALSE(copying->stopsSource);
    scenario.pass(Milliseconds(10)).forget();
    scenario.give(MigrationResponseReceived { exchange, MigrationOutcome::Copied, KvCacheHandle("h2") });
    const auto finishing = scenario.take<StartMigration>();
    REQUIRE(finishing);
    CHECK(finishing->stopsSource);
}

TEST_CASE("A replica takes no room that running streams need")
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

TEST_CASE("Copies over slow links end, and the last one is used when the engine is gone")
{
    GatewayScenario scenario;
    const EndpointId first = beginStream(scenario);
    const ExchangeId exchange = scenario.lastOrder()->exchange;
    loseReplica(scenario);
    scenario.give(draining(first));
    int calls = 0;
    constexpr int bound = 50;
    while (calls < bound && scenario.take<StartMigration>()) {
        ++calls;
        scenario.pass(Milliseconds(100)).forget();
        scenario.give(MigrationResponseReceived {
            exchange, MigrationOutcome::Copied, KvCacheHandle("h" + std::to_string(calls)) });
    }
    CHECK(calls < bound);
    scenario.give(ExchangeEnded { exchange, ExchangeEnd::Broken });
    REQUIRE(scenario.take<StartExchange>());
    CHECK(scenario.lastOrder()->resume->handle == KvCacheHandle("h" + std::to_string(calls)));
}
