#include "support/GatewayScenario.h"
#include "support/RawServer.h"
#include "support/TrafficHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

/** An endpoint on a socket that answers all requests in the same way. */
class UniformEndpoint {
public:
    explicit UniformEndpoint(std::string responseStart)
        : server([this, start = std::move(responseStart)](RawServer::Connection& connection) {
            while (const auto head = connection.readHead()) {
                ++this->requests;
                connection.send(start + "X-Teaselfold-Attempt-Id: " + headField(*head, "X-Teaselfold-Attempt-Id")
                    + "\r\nContent-Length: 2\r\n\r\nok");
            }
        })
    {
    }

    Address address() const { return this->server.address(); }

    std::atomic<int> requests { 0 };

private:
    RawServer server;
};

/** @return the endpoint's answer that it is full for some time. */
ResponseSummary fullFor(Milliseconds time)
{
    ResponseSummary summary = GatewayScenario::notRunRefusal();
    summary.restTime = time;
    return summary;
}

/** Lets the endpoint of the next request answer that it is full. @return the endpoint. */
EndpointId receiveRefusal(GatewayScenario& scenario, Milliseconds time)
{
    scenario.clearActions();
    scenario.sendRequest("/write/1");
    REQUIRE(scenario.lastAction<StartExchange>());
    const EndpointId endpoint = scenario.lastExchange()->endpoint;
    scenario.respond(fullFor(time));
    return endpoint;
}

/** Leaves one plain endpoint in the directory. */
void keepOnly(GatewayScenario& scenario, const std::string& endpoint)
{
    scenario.handle(EndpointsListed { { GatewayScenario::plainEndpoint(endpoint) } });
}

/** Sends a request. @return true if the gateway sends it to an endpoint now. */
bool isSent(GatewayScenario& scenario)
{
    scenario.clearActions();
    scenario.sendRequest("/write/1");
    return scenario.lastAction<StartExchange>().has_value();
}

}

// Guards against a full endpoint that is asked again and again while it has said how long it wants nothing.
TEST_CASE("An endpoint that is full for a stated time gets no further request within it")
{
    UniformEndpoint full("HTTP/1.1 503 Full\r\nX-Teaselfold-Not-Executed: 1\r\nRetry-After: 2.5\r\n");
    UniformEndpoint free("HTTP/1.1 200 OK\r\nX-Teaselfold-Server-Signature: s\r\n");
    TrafficHarness harness(full.address());
    EndpointRecord second = GatewayScenario::plainEndpoint("p5");
    second.address = free.address();
    harness.changeEndpoint(second);
    auto caller = harness.connect();
    const Instant start = std::chrono::steady_clock::now();
    int served = 0;
    int sent = 0;
    for (; std::chrono::steady_clock::now() - start < Milliseconds(2000); ++sent) {
        TrafficHarness::sendRequest(caller, "/write/1", "request-" + std::to_string(sent));
        served += TrafficHarness::readResponse(caller).starts_with("HTTP/1.1 200") ? 1 : 0;
    }
    CHECK(sent > 100);
    CHECK(served >= sent - 1);
    CHECK(full.requests <= 1);
}

TEST_CASE("A request is refused at once, with the time of the earliest return, when every endpoint is full")
{
    UniformEndpoint full("HTTP/1.1 503 Full\r\nX-Teaselfold-Not-Executed: 1\r\nRetry-After: 2.5\r\n");
    const TrafficHarness harness(full.address());
    auto caller = harness.connect();
    int refused = 0;
    for (int number = 0; number < 10; ++number) {
        TrafficHarness::sendRequest(caller, "/write/1", "request-" + std::to_string(number));
        const std::string answer = TrafficHarness::readResponse(caller);
        refused += answer.starts_with("HTTP/1.1 503") ? 1 : 0;
        const double retryAfter = std::stod("0" + headField(answer, "Retry-After"));
        // Not before the endpoint's return, and spread over the shortest Retry-After behind it.
        CHECK(retryAfter > 2.0);
        CHECK(retryAfter <= 2.8);
    }
    CHECK(refused == 10);
    CHECK(full.requests <= 2);
}

TEST_CASE("The time for which an endpoint wants nothing is read from an answer 503")
{
    const PlatformTrafficCodec codec;
    const auto restTime = [&](std::uint16_t status, const std::string& value) {
        const ResponseHead head { status, "", { { "retry-after", value } } };
        CHECK(codec.readMigrationResponse(ExchangeId(1), head, "{}").restTime == codec.readResponse(head).restTime);
        return codec.readResponse(head).restTime;
    };
    CHECK(restTime(503, "2") == Milliseconds(2000));
    CHECK(restTime(503, "0.25") == Milliseconds(250));
    CHECK(restTime(503, "0.0004") == Milliseconds(1));
    CHECK(restTime(429, "2") == Milliseconds(0));
    CHECK(restTime(200, "2") == Milliseconds(0));
    for (const std::string none : { "", "0", "-1", "-0.5", "nan", "inf", "1e3", "soon", "2 s", "1.2.3", ".", "0x2",
             "Fri, 05 Dec 2026 04:00:00 GMT" }) {
        CAPTURE(none);
        CHECK(restTime(503, none) == Milliseconds(0));
    }
    // One answer takes an endpoint out of use for five minutes at most.
    for (const std::string& huge : { std::string("301"), std::string(20, '9'), std::string(400, '9') })
        CHECK(restTime(503, huge) == std::chrono::minutes(5));
}

TEST_CASE("A later answer prolongs an endpoint's rest, but does not shorten it")
{
    for (const bool isLonger : { false, true }) {
        GatewayScenario scenario;
        scenario.start();
        keepOnly(scenario, "p4");
        // Both requests are on their way before the first answer.
        scenario.sendRequest("/write/1");
        const ExchangeId first = scenario.lastExchange()->exchange;
        scenario.sendRequest("/write/1");
        const ExchangeId second = scenario.lastExchange()->exchange;
        scenario.handle(ResponseReceived { first, fullFor(Milliseconds(2000)) });
        scenario.handle(ResponseReceived { second, fullFor(Milliseconds(isLonger ? 4000 : 500)) });
        scenario.advance(Milliseconds(1950)).refreshFromStore();
        CHECK_FALSE(isSent(scenario));
        scenario.advance(Milliseconds(100)).refreshFromStore();
        CHECK(isSent(scenario) == !isLonger);
        scenario.advance(Milliseconds(2000)).refreshFromStore();
        CHECK(isSent(scenario));
    }
}

// Guards against a backlog that is sent in the instant in which the endpoint takes requests again.
TEST_CASE("An endpoint that has rested gets its requests at intervals for a second")
{
    GatewayScenario scenario;
    scenario.start();
    keepOnly(scenario, "p4");
    receiveRefusal(scenario, Milliseconds(1000));
    scenario.advance(Milliseconds(1000)).refreshFromStore();
    scenario.clearActions();
    for (int number = 0; number < 10; ++number)
        scenario.sendRequest("/write/1");
    const auto sent = [&] {
        std::size_t count = 0;
        for (const GatewayAction& action : scenario.takeActions())
            count += std::holds_alternative<StartExchange>(action) ? 1 : 0;
        return count;
    };
    CHECK(sent() == 1);
    scenario.advance(Milliseconds(50));
    CHECK(sent() <= 1);
    scenario.advance(Milliseconds(1000)).refreshFromStore();
    sent();
    for (int number = 0; number < 10; ++number)
        scenario.sendRequest("/write/1");
    CHECK(sent() == 10);
}

TEST_CASE("Requests wait for an endpoint that is back within their waiting time, and are refused at once otherwise")
{
    GatewayScenario scenario;
    scenario.start();
    keepOnly(scenario, "p4");
    receiveRefusal(scenario, Milliseconds(10));
    CHECK_FALSE(isSent(scenario));
    CHECK_FALSE(scenario.lastAction<RefuseRequest>());
    scenario.advance(Milliseconds(50));
    CHECK(scenario.lastAction<StartExchange>());
    receiveRefusal(scenario.advance(Milliseconds(100)), Milliseconds(3000));
    CHECK_FALSE(isSent(scenario));
    const auto refusal = scenario.lastAction<RefuseRequest>();
    REQUIRE(refusal);
    CHECK(refusal->failure.run == Executed::No);
    CHECK(refusal->failure.retryAfter >= Milliseconds(3000));
}

TEST_CASE("Callers are told the earliest return of several endpoints, of which some leave")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.sendRequest("/write/1");
    ResponseSummary leaving = GatewayScenario::success();
    leaving.isLeaving = true;
    scenario.respond(leaving);
    scenario.endExchange(ExchangeEnd::Complete);
    const EndpointId longer = receiveRefusal(scenario, Milliseconds(4000));
    const EndpointId shorter = receiveRefusal(scenario, Milliseconds(1500));
    REQUIRE(longer != shorter);
    const auto refusal = scenario.lastAction<RefuseRequest>();
    REQUIRE(refusal);
    CHECK(refusal->failure.retryAfter >= Milliseconds(1500));
    CHECK(refusal->failure.retryAfter < Milliseconds(1800));
}

// Guards against the loss of a stream whose copy lies at a full engine, and against more than one request to it.
TEST_CASE("One stream may resume at an engine that rests, and no call moves a run away from it")
{
    const GatewayLimits limits;
    EndpointDirectory directory(limits);
    const Instant now(Seconds(100));
    const EndpointId engine("e1");
    directory.applyChanges({ { GatewayScenario::engineEndpoint("e1") }, {} }, std::nullopt, now);
    CHECK(directory.recordRest(engine, Milliseconds(2000), now));
    CHECK_FALSE(directory.recordRest(engine, Milliseconds(2000), now + Milliseconds(100)));
    CHECK(directory.isResting(engine, now + Milliseconds(500)));
    CHECK(directory.acceptsResumption(engine, now + Milliseconds(500)));
    directory.beginExchange(engine, 100, now + Milliseconds(500));
    CHECK_FALSE(directory.acceptsResumption(engine, now + Milliseconds(600)));
    CHECK(directory.acceptsResumption(engine, now + Milliseconds(2200)));

    GatewayScenario scenario;
    scenario.start().disableReplicas();
    scenario.sendRequest("/draft/1");
    REQUIRE(scenario.lastExchange());
    const ExchangeParameters stream = *scenario.lastExchange();
    scenario.respond(GatewayScenario::streamStart());
    scenario.handle(EventsRelayed { stream.exchange, 1 });
    scenario.handle(
        MigrationResponseReceived { stream.exchange, MigrationOutcome::NoRoom, {}, false, Milliseconds(1000) });
    EndpointRecord draining = GatewayScenario::engineEndpoint(stream.endpoint.get());
    draining.isDraining = true;
    scenario.handle(EndpointsChanged { { draining }, {} });
    CHECK_FALSE(scenario.lastAction<StartMigration>());
    scenario.advance(Milliseconds(1000)).refreshFromStore().handle(EventsRelayed { stream.exchange, 2 });
    CHECK(scenario.lastAction<StartMigration>());
}
