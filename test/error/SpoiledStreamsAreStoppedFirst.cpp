#include "support/GatewayScenario.h"
#include "support/RawServer.h"
#include "support/TrafficHarness.h"

#include <doctest/doctest.h>

#include <mutex>

using namespace teaselfold;

namespace {

/** A stream that the gateway gave up after five events, while its engine may go on with it. */
ExchangeParameters spoilStream(GatewayScenario& scenario)
{
    scenario.sendRequest("/draft/1");
    scenario.respond(GatewayScenario::streamStart());
    const ExchangeParameters source = *scenario.lastExchange();
    scenario.handle(EventsRelayed { source.exchange, 5 }).clearActions();
    scenario.handle(ExchangeEnded { source.exchange, ExchangeEnd::Spoiled });
    return source;
}

struct Answer {
    MigrationOutcome outcome;
    std::string handle;
    bool isEnded;
};

const Answer answers[] = {
    { MigrationOutcome::Copied, "copy", true },
    { MigrationOutcome::NoRoom, "kept", true },
    { MigrationOutcome::NoRoom, "", false },
    { MigrationOutcome::NoSuchRun, "", true },
    { MigrationOutcome::Unreachable, "", true },
    { MigrationOutcome::InProgress, "", false },
    { MigrationOutcome::Failed, "", false },
};

}

// Guards against a stream that goes on at another engine while the engine before still works on it, since the gateway
// itself closed the connection.
TEST_CASE("A spoiled stream goes on elsewhere only when its run has ended")
{
    for (const Answer& answer : answers) {
        CAPTURE(static_cast<int>(answer.outcome));
        GatewayScenario scenario;
        scenario.start();
        const ExchangeParameters source = spoilStream(scenario);
        const auto call = scenario.lastAction<StartMigration>();
        REQUIRE(call);
        CHECK(call->stopsSource);
        CHECK(call->source == source.address);
        CHECK(call->target != source.address);
        CHECK_FALSE(scenario.lastAction<StartExchange>());
        CHECK_FALSE(scenario.lastAction<AbortResponse>());
        scenario.handle(MigrationResponseReceived { source.exchange, answer.outcome, KvCacheHandle(answer.handle) });
        const auto resumed = scenario.lastAction<StartExchange>();
        CHECK(resumed.has_value() == answer.isEnded);
        CHECK(scenario.lastAction<AbortResponse>().has_value() != answer.isEnded);
        if (resumed && resumed->parameters.resume)
            CHECK(resumed->parameters.resume->lastEventId == 5);
    }
}

TEST_CASE("A spoiled stream whose engine cannot be asked to stop goes on nowhere")
{
    GatewayScenario scenario;
    scenario.start();
    GatewayConfiguration configuration = GatewayScenario::configuration(2);
    for (GatewayService& service : configuration.services) {
        if (service.engine)
            service.engine->canMigrate = false;
    }
    scenario.handle(ConfigurationRead { std::make_shared<const GatewayConfiguration>(std::move(configuration)) });
    spoilStream(scenario);
    CHECK_FALSE(scenario.lastAction<StartExchange>());
    CHECK_FALSE(scenario.lastAction<StartMigration>());
    CHECK(scenario.lastAction<AbortResponse>());
}

TEST_CASE("A stream that is spoiled while its run is copied is stopped when the copy is answered")
{
    GatewayScenario scenario;
    scenario.start().disableReplicas();
    scenario.sendRequest("/draft/1");
    scenario.respond(GatewayScenario::streamStart());
    const ExchangeParameters source = *scenario.lastExchange();
    scenario.handle(EventsRelayed { source.exchange, 5 });
    EndpointRecord leaving = GatewayScenario::engineEndpoint(source.endpoint.get());
    leaving.isDraining = true;
    scenario.handle(EndpointsChanged { { leaving }, {} });
    const auto copying = scenario.lastAction<StartMigration>();
    REQUIRE(copying);
    scenario.clearActions();
    scenario.handle(ExchangeEnded { source.exchange, ExchangeEnd::Spoiled });
    CHECK_FALSE(scenario.lastAction<StartExchange>());
    scenario.handle(MigrationResponseReceived { source.exchange, MigrationOutcome::Copied, KvCacheHandle("h1") });
    CHECK_FALSE(scenario.lastAction<StartExchange>());
    const auto stop = scenario.lastAction<StartMigration>();
    REQUIRE(stop);
    CHECK(stop->stopsSource);
    CHECK(stop->target == copying->target);
    scenario.handle(MigrationResponseReceived { source.exchange, MigrationOutcome::Copied, KvCacheHandle("h2") });
    REQUIRE(scenario.lastAction<StartExchange>());
    CHECK(scenario.lastExchange()->resume->handle == KvCacheHandle("h2"));
}

// The same with real sockets: the connection is closed by the gateway, which tells it from one that the engine closed.
TEST_CASE("An engine that sends a malformed piece is asked to stop before another one goes on")
{
    std::mutex mutex;
    std::vector<std::string> heads;
    const auto serve = [&](RawServer::Connection& connection) {
        const auto head = connection.readHead();
        if (!head)
            return;
        {
            const std::lock_guard lock(mutex);
            heads.push_back(*head);
        }
        if (head->starts_with("POST /v1/kv-move")) {
            connection.send("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        connection.send("HTTP/1.1 200 OK\r\nX-Teaselfold-Server-Signature: s\r\nContent-Type: text/event-stream\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: t1\n\n\r\n");
        connection.wait(Milliseconds(100));
        connection.send("these bytes are no piece\r\n");
        connection.wait(Milliseconds(500));
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
    CHECK(received.find("data: t1") != std::string::npos);
    CHECK_FALSE(received.ends_with("\r\n0\r\n\r\n"));
    const std::lock_guard lock(mutex);
    REQUIRE(heads.size() == 2);
    CHECK(heads[0].starts_with("POST /draft/1"));
    CHECK(heads[1].starts_with("POST /v1/kv-move"));
}
