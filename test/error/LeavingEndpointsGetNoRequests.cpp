#include "support/GatewayScenario.h"
#include "support/RawServer.h"
#include "support/TrafficHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

/** An endpoint on a socket that answers every request; its responses bear the given fields. */
class AnsweringEndpoint {
public:
    explicit AnsweringEndpoint(std::string responseFields)
        : fields(std::move(responseFields))
        , server([this](RawServer::Connection& connection) {
            while (const auto head = connection.readHead()) {
                ++this->requests;
                connection.send(
                    "HTTP/1.1 200 OK\r\nX-Teaselfold-Attempt-Id: " + headField(*head, "X-Teaselfold-Attempt-Id")
                    + "\r\nX-Teaselfold-Server-Signature: s\r\n" + this->fields + "Content-Length: 2\r\n\r\nok");
            }
        })
    {
    }

    Address address() const { return this->server.address(); }

    std::atomic<int> requests { 0 };

private:
    std::string fields;
    RawServer server;
};

/** Sends requests one after the other on a kept connection. @return the number of successes. */
int serve(const TrafficHarness& harness, int requests)
{
    auto caller = harness.connect();
    int served = 0;
    for (int number = 0; number < requests; ++number) {
        TrafficHarness::sendRequest(caller, "/write/1", "request-" + std::to_string(number));
        served += TrafficHarness::readResponse(caller).ends_with("\r\n\r\nok") ? 1 : 0;
    }
    return served;
}

ResponseSummary leavingAnswer(ResponseSummary summary)
{
    summary.isLeaving = true;
    return summary;
}

/** Sends a request that is answered by an endpoint that leaves. @return that endpoint. */
EndpointId receiveAnnouncement(GatewayScenario& scenario)
{
    scenario.sendRequest("/write/1");
    const EndpointId endpoint = scenario.lastExchange()->endpoint;
    scenario.respond(leavingAnswer(GatewayScenario::success()));
    scenario.endExchange(ExchangeEnd::Complete);
    return endpoint;
}

std::vector<EndpointRecord> plainRecords(Milliseconds startedAt)
{
    std::vector<EndpointRecord> records;
    for (const char* id : { "p4", "p5", "p6" }) {
        records.push_back(GatewayScenario::plainEndpoint(id));
        records.back().startedAt = WallTime(startedAt);
    }
    return records;
}

constexpr Milliseconds firstStart(1000);
constexpr Milliseconds secondStart(2000);

}

// Guards against an announcement in an answer that nobody reads: requests go on to an endpoint that is about to exit.
TEST_CASE("An endpoint that announces in an answer that it leaves gets no further request from this gateway")
{
    AnsweringEndpoint leaving("Server-Leaving: 1\r\n");
    AnsweringEndpoint staying("Server-Leaving: 0\r\n");
    TrafficHarness harness(leaving.address());
    EndpointRecord second = GatewayScenario::plainEndpoint("p5");
    second.address = staying.address();
    harness.changeEndpoint(second);
    constexpr int requests = 30;
    CHECK(serve(harness, requests) == requests);
    CHECK(leaving.requests <= 1);
    CHECK(staying.requests >= requests - 1);
}

TEST_CASE("An announcement of a leaving endpoint outlasts whatever the store says of the same incarnation")
{
    GatewayScenario scenario;
    scenario.start().handle(EndpointsListed { plainRecords(firstStart) });
    const EndpointId leaving = receiveAnnouncement(scenario);
    const auto isUnused = [&] { return !scenario.endpointsUsed(12).contains(leaving); };
    CHECK(scenario.endpointsUsed(12).size() == 2);
    // The store still shows it as ready, in a change and in a list.
    EndpointRecord ready = GatewayScenario::plainEndpoint(leaving.get());
    ready.startedAt = WallTime(firstStart);
    scenario.handle(EndpointsChanged { { ready }, {} });
    CHECK(isUnused());
    scenario.handle(EndpointsListed { plainRecords(firstStart) });
    CHECK(isUnused());
    // The store is down, and the record has expired when it returns and is back afterwards.
    scenario.handle(StoreReadFailed { StoreSection::Endpoints, "down" }).advance(Milliseconds(4000)).refreshFromStore();
    CHECK(isUnused());
    scenario.handle(EndpointsChanged { {}, { leaving } });
    CHECK(isUnused());
    scenario.advance(Milliseconds(1900)).refreshFromStore().handle(EndpointsChanged { { ready }, {} });
    CHECK(isUnused());
    // It has started again under the same id.
    ready.startedAt = WallTime(secondStart);
    scenario.handle(EndpointsChanged { { ready }, {} });
    CHECK(scenario.endpointsUsed(12).contains(leaving));
}

TEST_CASE("An endpoint that does not state its start is used again when it registers well after it had left")
{
    GatewayScenario scenario;
    scenario.start();
    const EndpointId leaving = receiveAnnouncement(scenario);
    const EndpointRecord record = GatewayScenario::plainEndpoint(leaving.get());
    scenario.handle(EndpointsChanged { {}, { leaving } }).advance(Milliseconds(2000)).refreshFromStore();
    scenario.handle(EndpointsChanged { { record }, {} });
    CHECK_FALSE(scenario.endpointsUsed(12).contains(leaving));
    scenario.handle(EndpointsChanged { {}, { leaving } }).advance(Milliseconds(6000)).refreshFromStore();
    scenario.handle(EndpointsChanged { { record }, {} });
    CHECK(scenario.endpointsUsed(12).contains(leaving));
}

TEST_CASE("An announcement counts in every kind of answer")
{
    ResponseSummary refusal = GatewayScenario::notRunRefusal();
    ResponseSummary misdirected = refusal;
    misdirected.status = 421;
    misdirected.isMisdirected = true;
    for (const ResponseSummary& answer : { GatewayScenario::success(), refusal, misdirected,
             GatewayScenario::failure(500), GatewayScenario::failure(404) }) {
        CAPTURE(answer.status);
        GatewayScenario scenario;
        scenario.start();
        scenario.sendRequest("/write/1");
        const EndpointId leaving = scenario.lastExchange()->endpoint;
        scenario.respond(leavingAnswer(answer));
        CHECK_FALSE(scenario.gatewayUnderTest().acceptsRequests(leaving));
        CHECK_FALSE(scenario.endpointsUsed(12).contains(leaving));
    }
}

// Guards against streams that stay at an engine until it exits, because the store does not show yet that it drains.
TEST_CASE("The streams of an engine that announces in an answer that it leaves are migrated")
{
    GatewayScenario scenario;
    scenario.start().disableReplicas();
    scenario.sendRequest("/draft/1");
    REQUIRE(scenario.lastExchange());
    const ExchangeParameters stream = *scenario.lastExchange();
    scenario.respond(GatewayScenario::streamStart());
    scenario.handle(EventsRelayed { stream.exchange, 1 });
    REQUIRE_FALSE(scenario.lastAction<StartMigration>());
    // Another stream of the same engine begins with the announcement.
    std::optional<EndpointId> other;
    for (int attempt = 0; attempt < 30 && other != stream.endpoint; ++attempt) {
        scenario.sendRequest("/draft/1");
        other = scenario.lastExchange()->endpoint;
    }
    REQUIRE(other == stream.endpoint);
    scenario.respond(leavingAnswer(GatewayScenario::streamStart()));
    const auto migration = scenario.lastAction<StartMigration>();
    REQUIRE(migration);
    CHECK(migration->exchange == stream.exchange);
    // The answers to the calls of a migration bear the announcement too.
    scenario.handle(MigrationResponseReceived { stream.exchange, MigrationOutcome::NoRoom, {}, true });
    CHECK_FALSE(scenario.gatewayUnderTest().acceptsRequests(stream.endpoint));
}

TEST_CASE("A request is refused at once, as not run, when every endpoint of its service leaves")
{
    GatewayScenario scenario;
    scenario.start();
    for (int endpoint = 0; endpoint < 3; ++endpoint)
        receiveAnnouncement(scenario);
    scenario.clearActions();
    scenario.sendRequest("/write/1");
    CHECK_FALSE(scenario.lastAction<StartExchange>());
    const auto refusal = scenario.lastAction<RefuseRequest>();
    REQUIRE(refusal);
    CHECK(refusal->failure.run == Executed::No);
    CHECK(refusal->failure.code == ErrorCode::NoCapacity);
    CHECK(refusal->failure.retryAfter > Milliseconds(0));
}

TEST_CASE("The announcement is read from the head of an answer and of a call's")
{
    const PlatformTrafficCodec codec;
    const auto isLeaving = [&](const std::string& value) {
        const ResponseHead head { 200, "", { { "server-leaving", value } } };
        const auto migrated = codec.readMigrationResponse(ExchangeId(1), head, "{}");
        CHECK(migrated.isLeaving == codec.readResponse(head).isLeaving);
        return migrated.isLeaving;
    };
    CHECK(isLeaving("1"));
    for (const std::string value : { "", "0", "10", "true", "no" })
        CHECK_FALSE(isLeaving(value));
}
