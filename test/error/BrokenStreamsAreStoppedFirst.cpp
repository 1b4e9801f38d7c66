#include "support/GatewayScenario.h"
#include "support/RawServer.h"
#include "support/TrafficHarness.h"

#include <doctest/doctest.h>

#include <mutex>

using namespace teaselfold;

namespace {

/** Starts a stream with a replica and relays events. @return its exchange. */
ExchangeParameters startStream(GatewayScenario& scenario, std::uint64_t events)
{
    scenario.sendRequest("/draft/1");
    REQUIRE(scenario.lastExchange()->replicaAddress);
    if (events > 0) {
        scenario.respond(GatewayScenario::streamStart());
        scenario.handle(EventsRelayed { scenario.lastExchange()->exchange, events });
    }
    scenario.clearActions();
    return *scenario.lastExchange();
}

struct Answer {
    MigrationOutcome outcome;
    std::string handle;
    /** The run no longer goes on at its engine, if it had begun. */
    bool isEnded;
    /** The same if no event of it was seen, so that the engine may begin it later. */
    bool isEndedUnbegun;
};

const Answer answers[] = {
    { MigrationOutcome::Copied, "copy", true, true },
    { MigrationOutcome::NoRoom, "kept", true, true },
    { MigrationOutcome::NoRoom, "", false, false },
    { MigrationOutcome::NoSuchRun, "", true, false },
    { MigrationOutcome::Unreachable, "", true, true },
    { MigrationOutcome::InProgress, "", false, false },
    { MigrationOutcome::Failed, "", false, false },
};

}

// Guards against a run that goes on at two engines because its answer was lost by a reset: the engine works on without
// a connection.
TEST_CASE("A stream whose connection breaks goes on elsewhere only when its run has ended")
{
    for (const std::uint64_t events : { 0, 5 }) {
        for (const Answer& answer : answers) {
            CAPTURE(events);
            CAPTURE(static_cast<int>(answer.outcome));
            GatewayScenario scenario;
            scenario.start();
            const ExchangeParameters source = startStream(scenario, events);
            scenario.handle(ExchangeEnded { source.exchange, ExchangeEnd::Broken });
            const auto call = scenario.lastAction<StartMigration>();
            REQUIRE(call);
            CHECK(call->stopsSource);
            CHECK(call->source == source.address);
            CHECK_FALSE(scenario.lastAction<StartExchange>());
            scenario.handle(
                MigrationResponseReceived { source.exchange, answer.outcome, KvCacheHandle(answer.handle) });
            const auto resumed = scenario.lastAction<StartExchange>();
            CHECK(resumed.has_value() == (events > 0 ? answer.isEnded : answer.isEndedUnbegun));
            const bool isOver = scenario.lastAction<AbortResponse>() || scenario.lastAction<RefuseRequest>();
            CHECK(isOver != resumed.has_value());
            if (resumed)
                CHECK(resumed->parameters.resume->lastEventId == events);
        }
    }
}

// Guards against a run that is resumed from an earlier copy after the call that was to stop it has failed.
TEST_CASE("A run that was being stopped when its connection broke is asked again if the first call failed")
{
    for (const bool isAnsweredFirst : { true, false }) {
        CAPTURE(isAnsweredFirst);
        GatewayScenario scenario;
        scenario.start().disableReplicas();
        scenario.sendRequest("/draft/1");
        scenario.respond(GatewayScenario::streamStart());
        const ExchangeParameters source = *scenario.lastExchange();
        scenario.handle(EventsRelayed { source.exchange, 5 });
        EndpointRecord leaving = GatewayScenario::engineEndpoint(source.endpoint.get());
        leaving.isDraining = true;
        scenario.handle(EndpointsChanged { { leaving }, {} });
        scenario.handle(MigrationResponseReceived { source.exchange, MigrationOutcome::Copied, KvCacheHandle("h1") });
        REQUIRE(scenario.lastAction<StartMigration>()->stopsSource);
        scenario.clearActions();
        if (isAnsweredFirst)
            scenario.handle(MigrationResponseReceived { source.exchange, MigrationOutcome::Failed, {} });
        scenario.handle(ExchangeEnded { source.exchange, ExchangeEnd::Broken });
        if (!isAnsweredFirst)
            scenario.handle(MigrationResponseReceived { source.exchange, MigrationOutcome::Failed, {} });
        CHECK_FALSE(scenario.lastAction<StartExchange>());
        const auto again = scenario.lastAction<StartMigration>();
        REQUIRE(again);
        CHECK(again->stopsSource);
        scenario.handle(MigrationResponseReceived { source.exchange, MigrationOutcome::NoSuchRun, {} });
        REQUIRE(scenario.lastAction<StartExchange>());
        CHECK(scenario.lastExchange()->resume->handle == KvCacheHandle("h1"));
    }
}

// Guards against a replica that is of no use at engines that move no runs, or that is used while the run goes on.
TEST_CASE("A run of an engine that moves none goes on from its replica only when the engine is gone")
{
    for (const bool isGone : { true, false }) {
        CAPTURE(isGone);
        GatewayScenario scenario;
        scenario.start();
        GatewayConfiguration configuration = GatewayScenario::configuration(2);
        for (GatewayService& service : configuration.services) {
            if (service.engine)
                service.engine->canMigrate = false;
        }
        scenario.handle(ConfigurationRead { std::make_shared<const GatewayConfiguration>(std::move(configuration)) });
        const ExchangeParameters source = startStream(scenario, 5);
        scenario.handle(ExchangeEnded { source.exchange, ExchangeEnd::Broken });
        CHECK_FALSE(scenario.lastAction<StartExchange>());
        scenario.handle(MigrationResponseReceived {
            source.exchange, isGone ? MigrationOutcome::Unreachable : MigrationOutcome::NoSuchRun, {} });
        CHECK(scenario.lastAction<StartExchange>().has_value() == isGone);
        CHECK(scenario.lastAction<AbortResponse>().has_value() != isGone);
    }
}

// The same with real sockets: an engine resets the connection of a stream and works on until it is told to stop.
TEST_CASE("An engine that resets a stream's connection is asked to stop before another one goes on")
{
    std::mutex mutex;
    std::vector<std::string> heads;
    const std::string head
        = "HTTP/1.1 200 OK\r\nX-Teaselfold-Server-Signature: s\r\nContent-Type: text/event-stream\r\n"
          "Transfer-Encoding: chunked\r\n\r\n";
    const auto serve = [&](RawServer::Connection& connection) {
        const auto request = connection.readHead();
        if (!request)
            return;
        const bool resumes = !headField(*request, "Kv-From").empty();
        {
            const std::lock_guard lock(mutex);
            heads.push_back(request->substr(0, request->find(" HTTP")) + (resumes ? " resumed" : ""));
        }
        if (request->starts_with("POST /v1/kv-move")) {
            const std::string copy = R"({"session":"h1","created":1})";
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(copy.size()) + "\r\n\r\n" + copy);
            return;
        }
        connection.send(head + (resumes ? "10\r\nid: 2\ndata: t2\n\n\r\n0\r\n\r\n" : "10\r\nid: 1\ndata: t1\n\n\r\n"));
        connection.wait(Milliseconds(100));
        connection.reset();
    };
    RawServer first(serve);
    RawServer second(serve);
    TrafficHarness harness(first.address());
    EndpointRecord other = GatewayScenario::engineEndpoint("e2");
    other.address = second.address();
    harness.changeEndpoint(other);
    auto socket = harness.connect();
    const std::string request
        = "POST /draft/1 HTTP/1.1\r\nHost: host.example\r\nX-Api-Key: key-a\r\nX-Teaselfold-Attempt-Id: a1\r\n"
          "X-Teaselfold-Model: m\r\nX-Teaselfold-Token-Usage: 100,4000\r\nX-Teaselfold-Deadline-Ms: 20000\r\n"
          "Content-Length: 0\r\n\r\n";
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    const std::string received = TrafficHarness::readChunkedResponse(socket);
    CHECK(received.find("data: t2") != std::string::npos);
    CHECK(received.ends_with("\r\n0\r\n\r\n"));
    const std::lock_guard lock(mutex);
    CHECK(heads == std::vector<std::string> { "POST /draft/1", "POST /v1/kv-move", "POST /draft/1 resumed" });
}
