#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

/** A stream runs and five events went on. */
EndpointId beginStream(GatewayScenario& scenario)
{
    scenario.start();
    scenario.arrive("/draft/1");
    scenario.answer(GatewayScenario::streamStart());
    scenario.handle(EventsRelayed { scenario.lastOrder()->exchange, 5 });
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
            scenario.handle(draining(record.id));
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
    CHECK(scenario.lastOrder()->resume->handle == MemoryHandle("caller-1"));
}

TEST_CASE("A stream without a replica is copied while it runs, stopped, and goes on elsewhere")
{
    GatewayScenario scenario;
    const EndpointId first = beginStream(scenario);
    const ExchangeId exchange = scenario.lastOrder()->exchange;
    loseReplica(scenario);
    scenario.clearActions();
    scenario.handle(draining(first));
    const auto copying = scenario.lastAction<StartMove>();
    REQUIRE(copying);
    CHECK_FALSE(copying->stopsRun);

    scenario.clearActions();
    scenario.handle(MoveAnswered { exchange, MoveOutcome::Copied, MemoryHandle("h1") });
    const auto finishing = scenario.lastAction<StartMove>();
    REQUIRE(finishing);
    CHECK(finishing->stopsRun);
    CHECK(finishing->target == copying->target);

    // The last events and the end of the old stream come before or after the answer to the move.
    scenario.clearActions();
    scenario.handle(MoveAnswered { exchange, MoveOutcome::Copied, MemoryHandle("h2") });
    CHECK_FALSE(scenario.lastAction<StartExchange>());
    scenario.handle(EventsRelayed { exchange, 7 });
    scenario.handle(ExchangeEnded { exchange, ExchangeEnd::Broken });
    REQUIRE(scenario.lastAction<StartExchange>());
    CHECK(scenario.lastOrder()->resume->handle == MemoryHandle("h2"));
    CHECK(scenario.lastOrder()->resume->lastEventId == 7);
    CHECK(scenario.lastOrder()->address == copying->target);
}

TEST_CASE("A stream whose engine dies during the move goes on from the copy that there is")
{
    GatewayScenario scenario;
    const EndpointId first = beginStream(scenario);
    const ExchangeId exchange = scenario.lastOrder()->exchange;
    loseReplica(scenario);
    scenario.handle(draining(first)).handle(MoveAnswered { exchange, MoveOutcome::Copied, MemoryHandle("h1") });
    scenario.clearActions();
    scenario.handle(ExchangeEnded { exchange, ExchangeEnd::Broken });
    CHECK_FALSE(scenario.lastAction<StartExchange>());
    scenario.handle(MoveAnswered { exchange, MoveOutcome::Failed, {} });
    REQUIRE(scenario.lastAction<StartExchange>());
    CHECK(scenario.lastOrder()->resume->handle == MemoryHandle("h1"));
}

TEST_CASE("A stream that nobody has a copy of ends visibly cut")
{
    GatewayScenario scenario;
    beginStream(scenario);
    loseReplica(scenario);
    scenario.clearActions();
    scenario.end(ExchangeEnd::Broken);
    CHECK(scenario.lastAction<CutAnswer>());
    CHECK_FALSE(scenario.lastAction<StartExchange>());
}

TEST_CASE("A caller that leaves during a move ends it")
{
    GatewayScenario scenario;
    const EndpointId first = beginStream(scenario);
    const ExchangeId exchange = scenario.lastOrder()->exchange;
    loseReplica(scenario);
    scenario.handle(draining(first)).clearActions();
    scenario.handle(RequestAbandoned { RequestId(1) });
    CHECK(scenario.lastAction<CancelExchange>());
    scenario.handle(MoveAnswered { exchange, MoveOutcome::Copied, MemoryHandle("h1") });
    CHECK_FALSE(scenario.lastAction<StartExchange>());
}

TEST_CASE("A stream whose first event comes from an engine that leaves is handed over then")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.arrive("/draft/1");
    const EndpointId first = scenario.lastOrder()->endpoint;
    const ExchangeId exchange = scenario.lastOrder()->exchange;
    loseReplica(scenario);
    scenario.handle(draining(first));
    CHECK_FALSE(scenario.lastAction<StartMove>());
    scenario.handle(ExchangeAnswered { exchange, GatewayScenario::streamStart() });
    scenario.handle(EventsRelayed { exchange, 1 });
    const auto copying = scenario.lastAction<StartMove>();
    REQUIRE(copying);
    CHECK(copying->exchange == exchange);
    CHECK_FALSE(copying->stopsRun);
}

TEST_CASE("A stream that found no room at one engine is offered to another one")
{
    GatewayScenario scenario;
    const EndpointId first = beginStream(scenario);
    const ExchangeId exchange = scenario.lastOrder()->exchange;
    loseReplica(scenario);
    scenario.handle(EndpointsChanged { { GatewayScenario::engine("e7") }, {} });
    scenario.handle(draining(first));
    const auto refused = scenario.lastAction<StartMove>();
    REQUIRE(refused);
    scenario.handle(MoveAnswered { exchange, MoveOutcome::NoRoom, {} });
    const auto second = scenario.lastAction<StartMove>();
    REQUIRE(second);
    CHECK(second->target != refused->target);
}

TEST_CASE("Where no engine of the zone is left, a stream goes to another zone")
{
    GatewayScenario scenario;
    const EndpointId first = beginStream(scenario);
    scenario.handle(EndpointsChanged { { GatewayScenario::engine("e7", "south") }, {} });
    for (const char* name : { "e1", "e2", "e3" }) {
        if (EndpointId(name) != first)
            scenario.handle(draining(EndpointId(name)));
    }
    scenario.handle(draining(first));
    const auto move = scenario.lastAction<StartMove>();
    REQUIRE(move);
    CHECK(move->target == GatewayScenario::engine("e7").address);
}

TEST_CASE("A copy that waited for other transfers is brought up to date before the run stops")
{
    GatewayScenario scenario;
    const EndpointId first = beginStream(scenario);
    const ExchangeId exchange = scenario.lastOrder()->exchange;
    loseReplica(scenario);
    scenario.handle(draining(first)).advance(Milliseconds(200)).clearActions();
    scenario.handle(MoveAnswered { exchange, MoveOutcome::Copied, MemoryHandle("h1") });
    auto copying = scenario.lastAction<StartMove>();
    REQUIRE(copying);
    CHECK_FALSE(copying->stopsRun);
    scenario.advance(Milliseconds(10)).clearActions();
    scenario.handle(MoveAnswered { exchange, MoveOutcome::Copied, MemoryHandle("h2") });
    const auto finishing = scenario.lastAction<StartMove>();
    REQUIRE(finishing);
    CHECK(finishing->stopsRun);
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
    scenario.handle(draining(first));
    int calls = 0;
    constexpr int bound = 50;
    while (calls < bound && scenario.lastAction<StartMove>()) {
        ++calls;
        scenario.advance(Milliseconds(100)).clearActions();
        scenario.handle(MoveAnswered { exchange, MoveOutcome::Copied, MemoryHandle("h" + std::to_string(calls)) });
    }
    CHECK(calls < bound);
    scenario.handle(ExchangeEnded { exchange, ExchangeEnd::Broken });
    REQUIRE(scenario.lastAction<StartExchange>());
    CHECK(scenario.lastOrder()->resume->handle == MemoryHandle("h" + std::to_string(calls)));
}
