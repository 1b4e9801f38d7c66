#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

/** Starts a stream and relays five events. @return the engine that runs it. */
EndpointId startStream(GatewayScenario& scenario)
{
    scenario.start();
    scenario.sendRequest("/draft/1");
    scenario.respond(GatewayScenario::streamStart());
    scenario.handle(EventsRelayed { scenario.lastExchange()->exchange, 5 });
    return scenario.lastExchange()->endpoint;
}

/** @return the change that marks an engine as draining. */
EndpointsChanged drainingChange(const EndpointId& endpoint)
{
    EndpointRecord record = GatewayScenario::engineEndpoint(endpoint.get());
    record.isDraining = true;
    return { { record }, {} };
}

/** Migrates the stream of the last exchange away from its engine, which closes it before the end. */
void migrate(GatewayScenario& scenario, const std::string& handle)
{
    const EndpointId source = scenario.lastExchange()->endpoint;
    const ExchangeId exchange = scenario.lastExchange()->exchange;
    scenario.clearActions();
    scenario.handle(drainingChange(source))
        .handle(MigrationResponseReceived { exchange, MigrationOutcome::Copied, KvCacheHandle("h") });
    const auto finishing = scenario.lastAction<StartMigration>();
    REQUIRE(finishing);
    REQUIRE(finishing->stopsSource);
    scenario.handle(MigrationResponseReceived { exchange, MigrationOutcome::Copied, KvCacheHandle(handle) })
        .handle(ExchangeEnded { exchange, ExchangeEnd::Broken });
}

/** Drains the engine that holds the stream's replica, so that the replica cannot be used. */
void drainReplicaEngine(GatewayScenario& scenario)
{
    for (const char* name : { "e1", "e2", "e3", "e7", "e8" }) {
        const EndpointRecord record = GatewayScenario::engineEndpoint(name);
        if (record.address == scenario.lastExchange()->replicaAddress)
            scenario.handle(drainingChange(record.id));
    }
}

}

TEST_CASE("A broken stream resumes at the engine with its replica after the last relayed event")
{
    GatewayScenario scenario;
    const EndpointId first = startStream(scenario);
    const Address replica = *scenario.lastExchange()->replicaAddress;
    scenario.loseEngine();
    REQUIRE(scenario.lastExchange()->resume);
    CHECK(scenario.lastExchange()->endpoint != first);
    CHECK(scenario.lastExchange()->address == replica);
    CHECK(scenario.lastExchange()->resume->lastEventId == 5);
    CHECK(scenario.lastExchange()->resume->handle == KvCacheHandle("caller-1"));
}

TEST_CASE("A stream without a replica is copied while it runs, then stopped and resumed elsewhere")
{
    GatewayScenario scenario;
    const EndpointId first = startStream(scenario);
    const ExchangeId exchange = scenario.lastExchange()->exchange;
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

    // The last events and the end of the old stream may come before or after the response to the copy call.
    scenario.clearActions();
    scenario.handle(MigrationResponseReceived { exchange, MigrationOutcome::Copied, KvCacheHandle("h2") });
    CHECK_FALSE(scenario.lastAction<StartExchange>());
    scenario.handle(EventsRelayed { exchange, 7 });
    scenario.handle(ExchangeEnded { exchange, ExchangeEnd::Broken });
    REQUIRE(scenario.lastAction<StartExchange>());
    CHECK(scenario.lastExchange()->resume->handle == KvCacheHandle("h2"));
    CHECK(scenario.lastExchange()->resume->lastEventId == 7);
    CHECK(scenario.lastExchange()->address == copying->target);
}

TEST_CASE("A stream whose engine crashes during the migration resumes from the last copy")
{
    GatewayScenario scenario;
    const EndpointId first = startStream(scenario);
    const ExchangeId exchange = scenario.lastExchange()->exchange;
    drainReplicaEngine(scenario);
    scenario.handle(drainingChange(first))
        .handle(MigrationResponseReceived { exchange, MigrationOutcome::Copied, KvCacheHandle("h1") });
    scenario.clearActions();
    scenario.handle(ExchangeEnded { exchange, ExchangeEnd::Broken });
    CHECK_FALSE(scenario.lastAction<StartExchange>());
    scenario.handle(MigrationResponseReceived { exchange, MigrationOutcome::Failed, {} });
    CHECK_FALSE(scenario.lastAction<StartExchange>());
    scenario.handle(MigrationResponseReceived { exchange, MigrationOutcome::Unreachable, {} });
    REQUIRE(scenario.lastAction<StartExchange>());
    CHECK(scenario.lastExchange()->resume->handle == KvCacheHandle("h1"));
}

TEST_CASE("The response of a broken stream without a copy is aborted, not completed")
{
    GatewayScenario scenario;
    startStream(scenario);
    drainReplicaEngine(scenario);
    scenario.clearActions();
    scenario.loseEngine();
    CHECK(scenario.lastAction<AbortResponse>());
    CHECK_FALSE(scenario.lastAction<StartExchange>());
}

// Guards against an error body that is appended to a caller's stream and ends it as if it were complete.
TEST_CASE("A stream is aborted when the engine at which it resumes answers with an error or without a stream")
{
    ResponseSummary plainSuccess = GatewayScenario::success();
    plainSuccess.isStream = false;
    for (const ResponseSummary& answer : { GatewayScenario::failure(500), plainSuccess }) {
        GatewayScenario scenario;
        startStream(scenario);
        scenario.loseEngine();
        REQUIRE(scenario.lastExchange()->resume);
        scenario.clearActions();
        scenario.respond(answer);
        CHECK_FALSE(scenario.lastAction<RelayResponse>());
        CHECK(scenario.lastAction<AbortResponse>());
    }
}

TEST_CASE("A migration ends when the caller disconnects")
{
    GatewayScenario scenario;
    const EndpointId first = startStream(scenario);
    const ExchangeId exchange = scenario.lastExchange()->exchange;
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
    scenario.sendRequest("/draft/1");
    const EndpointId first = scenario.lastExchange()->endpoint;
    const ExchangeId exchange = scenario.lastExchange()->exchange;
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

TEST_CASE("A migration for which one target has no room is tried with another target")
{
    GatewayScenario scenario;
    const EndpointId first = startStream(scenario);
    const ExchangeId exchange = scenario.lastExchange()->exchange;
    drainReplicaEngine(scenario);
    scenario.handle(EndpointsChanged { { GatewayScenario::engineEndpoint("e7") }, {} });
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
    scenario.handle(EndpointsChanged { { GatewayScenario::engineEndpoint("e7", "south") }, {} });
    for (const char* name : { "e1", "e2", "e3" }) {
        if (EndpointId(name) != first)
            scenario.handle(drainingChange(EndpointId(name)));
    }
    scenario.handle(drainingChange(first));
    const auto migration = scenario.lastAction<StartMigration>();
    REQUIRE(migration);
    CHECK(migration->target == GatewayScenario::engineEndpoint("e7").address);
}

TEST_CASE("A slow copy is repeated before the run is stopped")
{
    GatewayScenario scenario;
    const EndpointId first = startStream(scenario);
    const ExchangeId exchange = scenario.lastExchange()->exchange;
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
        scenario.sendRequest("/draft/1");
        replicated += scenario.lastExchange()->replicaAddress ? 1 : 0;
    }
    CHECK(replicated > 0);
    CHECK(replicated < streams);
    CHECK_FALSE(scenario.lastExchange()->replicaAddress);
}

TEST_CASE(
    "Copying over slow links ends after a limited number of calls, and a broken stream resumes from the last copy")
{
    GatewayScenario scenario;
    const EndpointId first = startStream(scenario);
    const ExchangeId exchange = scenario.lastExchange()->exchange;
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
    scenario.loseEngine();
    REQUIRE(scenario.lastAction<StartExchange>());
    CHECK(scenario.lastExchange()->resume->handle == KvCacheHandle("h" + std::to_string(calls)));
}

TEST_CASE("A stream that its engine stops and closes after a whole event is resumed, not completed")
{
    for (const bool isAnsweredFirst : { true, false }) {
        CAPTURE(isAnsweredFirst);
        GatewayScenario scenario;
        const EndpointId first = startStream(scenario);
        const ExchangeId exchange = scenario.lastExchange()->exchange;
        const MigrationResponseReceived stopped { exchange, MigrationOutcome::Copied, KvCacheHandle("h2") };
        drainReplicaEngine(scenario);
        scenario.handle(drainingChange(first))
            .handle(MigrationResponseReceived { exchange, MigrationOutcome::Copied, KvCacheHandle("h1") });
        REQUIRE(scenario.lastAction<StartMigration>()->stopsSource);
        scenario.clearActions();
        if (isAnsweredFirst)
            scenario.handle(stopped);
        scenario.handle(ExchangeEnded { exchange, ExchangeEnd::Closed });
        if (!isAnsweredFirst) {
            CHECK_FALSE(scenario.lastAction<StartExchange>());
            scenario.handle(stopped);
        }
        CHECK_FALSE(scenario.lastAction<CompleteResponse>());
        REQUIRE(scenario.lastAction<StartExchange>());
        CHECK(scenario.lastExchange()->resume->handle == KvCacheHandle("h2"));
    }
}

TEST_CASE("A stream that ends with its connection is complete while its run is only copied")
{
    GatewayScenario scenario;
    const EndpointId first = startStream(scenario);
    const ExchangeId exchange = scenario.lastExchange()->exchange;
    drainReplicaEngine(scenario);
    scenario.handle(drainingChange(first)).clearActions();
    scenario.handle(ExchangeEnded { exchange, ExchangeEnd::Closed });
    CHECK(scenario.lastAction<CompleteResponse>());
    scenario.handle(MigrationResponseReceived { exchange, MigrationOutcome::NoSuchRun, {} });
    CHECK_FALSE(scenario.lastAction<StartExchange>());
}

// Guards against streams that are cut off because the stops of their migrations count as crashes of their engines.
TEST_CASE("A stream that is migrated twice soon after its start goes on")
{
    GatewayScenario scenario;
    startStream(scenario);
    for (const char* name : { "e7", "e8" })
        scenario.handle(EndpointsChanged { { GatewayScenario::engineEndpoint(name) }, {} });
    drainReplicaEngine(scenario);
    migrate(scenario, "h1");
    REQUIRE(scenario.lastAction<StartExchange>());
    CHECK(scenario.lastExchange()->resume->handle == KvCacheHandle("h1"));
    scenario.respond(GatewayScenario::streamStart());
    scenario.handle(EventsRelayed { scenario.lastExchange()->exchange, 6 });
    drainReplicaEngine(scenario);
    migrate(scenario, "h2");
    CHECK_FALSE(scenario.lastAction<AbortResponse>());
    REQUIRE(scenario.lastAction<StartExchange>());
    CHECK(scenario.lastExchange()->resume->handle == KvCacheHandle("h2"));
}

// Guards against runs that are stopped at their source after the target of the migration went out of use.
TEST_CASE("A run is not stopped for a migration whose target no longer takes requests")
{
    struct Change {
        const char* what;
        void (*apply)(GatewayScenario& scenario, const EndpointId& target);
    };
    const Change changes[] = {
        { "leaves",
            [](GatewayScenario& scenario, const EndpointId& target) { scenario.handle(drainingChange(target)); } },
        { "is gone",
            [](GatewayScenario& scenario, const EndpointId& target) {
                scenario.handle(EndpointsChanged { {}, { target } });
            } },
        { "zone goes out",
            [](GatewayScenario& scenario, const EndpointId&) {
                scenario.handle(OutOfServiceZonesRead { { ZoneId("south") } });
            } },
    };
    for (const Change& change : changes) {
        CAPTURE(change.what);
        GatewayScenario scenario;
        const EndpointId first = startStream(scenario);
        const ExchangeId exchange = scenario.lastExchange()->exchange;
        scenario.handle(EndpointsChanged { { GatewayScenario::engineEndpoint("e7", "south") }, {} });
        for (const char* name : { "e1", "e2", "e3" }) {
            if (EndpointId(name) != first)
                scenario.handle(drainingChange(EndpointId(name)));
        }
        scenario.handle(drainingChange(first));
        REQUIRE(scenario.lastAction<StartMigration>()->target == GatewayScenario::engineEndpoint("e7").address);
        change.apply(scenario, EndpointId("e7"));
        scenario.handle(EndpointsChanged { { GatewayScenario::engineEndpoint("e8") }, {} }).clearActions();
        scenario.handle(MigrationResponseReceived { exchange, MigrationOutcome::Copied, KvCacheHandle("h1") });
        const auto next = scenario.lastAction<StartMigration>();
        REQUIRE(next);
        CHECK_FALSE(next->stopsSource);
        CHECK(next->target == GatewayScenario::engineEndpoint("e8").address);
    }
}

// Guards against a stopped run that is given up because its target began to leave in the last moment.
TEST_CASE("A run that was stopped for a migration resumes at a target that has only just begun to leave")
{
    for (const Milliseconds sinceLeaving : { Milliseconds(50), Milliseconds(450), Milliseconds(550) }) {
        CAPTURE(sinceLeaving.count());
        GatewayScenario scenario;
        const EndpointId first = startStream(scenario);
        const ExchangeId exchange = scenario.lastExchange()->exchange;
        drainReplicaEngine(scenario);
        scenario.handle(drainingChange(first))
            .handle(MigrationResponseReceived { exchange, MigrationOutcome::Copied, KvCacheHandle("h1") });
        REQUIRE(scenario.lastAction<StartMigration>()->stopsSource);
        scenario.handle(OutOfServiceZonesRead { { ZoneId("north") } }).advance(sinceLeaving).clearActions();
        scenario.handle(MigrationResponseReceived { exchange, MigrationOutcome::Copied, KvCacheHandle("h2") })
            .handle(ExchangeEnded { exchange, ExchangeEnd::Broken });
        CHECK(scenario.lastAction<StartExchange>().has_value() == (sinceLeaving < Milliseconds(500)));
    }
}
