#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

#include <limits>
#include <map>

using namespace teaselfold;

TEST_CASE("A stopping gateway reports that it is not ready but accepts requests during the drain delay")
{
    GatewayScenario scenario;
    scenario.start().handle(GatewayStopRequested { scenario.now() }).advance(Milliseconds(1000)).refreshFromStore();
    CHECK_FALSE(scenario.gatewayUnderTest().isReady(scenario.now()));
    scenario.clearActions();
    scenario.sendRequest("/draft/1");
    CHECK(scenario.lastAction<StartExchange>());
}

TEST_CASE("A stopping gateway refuses requests whose deadline is after its exit")
{
    GatewayScenario scenario;
    scenario.start().handle(GatewayStopRequested { scenario.now() }).advance(Milliseconds(2900)).refreshFromStore();
    scenario.clearActions();
    scenario.sendRequest("/draft/1");
    const auto refused = scenario.lastAction<RefuseRequest>();
    REQUIRE(refused);
    CHECK(refused->failure.code == ErrorCode::Stopping);
    CHECK(refused->failure.run == Executed::No);
    CHECK_FALSE(scenario.lastAction<StartExchange>());
}

TEST_CASE("A stopping gateway is drained once its last request is complete")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.sendRequest("/write/1");
    scenario.handle(GatewayStopRequested { scenario.now() });
    CHECK_FALSE(scenario.gatewayUnderTest().isDrained());
    scenario.respond(GatewayScenario::success());
    scenario.endExchange(ExchangeEnd::Complete);
    CHECK(scenario.gatewayUnderTest().isDrained());
}

TEST_CASE("A gateway whose stop is complete refuses requests that arrive before its process exits")
{
    // The request could finish before the stop limit, so only the completed stop is a reason to refuse it.
    GatewayLimits limits;
    limits.stopLimit = Milliseconds(20000);
    GatewayScenario scenario(limits);
    scenario.start().handle(GatewayStopRequested { scenario.now() }).advance(Milliseconds(2600)).refreshFromStore();
    REQUIRE(scenario.gatewayUnderTest().isStopComplete());
    scenario.clearActions();
    scenario.sendRequest("/write/1");
    const auto refused = scenario.lastAction<RefuseRequest>();
    REQUIRE(refused);
    CHECK(refused->failure.code == ErrorCode::Stopping);
    CHECK(refused->failure.run == Executed::No);
    CHECK_FALSE(scenario.lastAction<StartExchange>());
}

TEST_CASE("A stop is complete only after the drain delay, and while a request is in progress at the stop limit only")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.sendRequest("/draft/1");
    scenario.handle(GatewayStopRequested { scenario.now() }).advance(Milliseconds(2500));
    CHECK_FALSE(scenario.gatewayUnderTest().isStopComplete());
    scenario.respond(GatewayScenario::streamStart());
    scenario.advance(Milliseconds(1500));
    CHECK_FALSE(scenario.gatewayUnderTest().isStopComplete());
    scenario.endExchange(ExchangeEnd::Complete);
    scenario.advance(Milliseconds(50));
    CHECK(scenario.gatewayUnderTest().isStopComplete());
}

// Guards against callers that get no answer because the process exits while their requests are in progress.
TEST_CASE("A stop at its limit answers every request in progress, and as not run only those that were not sent")
{
    GatewayScenario scenario;
    scenario.start();
    ResponseSummary full = GatewayScenario::notRunRefusal();
    full.restTime = Milliseconds(10000);
    for (int endpoint = 0; endpoint < 2; ++endpoint) {
        scenario.sendRequest("/write/1");
        scenario.respond(full);
    }
    const RequestId sent = scenario.sendRequest("/write/2");
    const EndpointId lastPlainEndpoint = scenario.lastExchange()->endpoint;
    scenario.sendRequest("/draft/1");
    scenario.respond(GatewayScenario::streamStart());
    GatewayLimits limits = scenario.gatewayUnderTest().limits();
    limits.stopLimit = Milliseconds(3000);
    limits.queueWaitFraction = 10;
    scenario.handle(LimitsChanged { limits })
        .handle(GatewayStopRequested { scenario.now() })
        .advance(Milliseconds(2500));
    scenario.refreshFromStore();
    EndpointRecord leaving = GatewayScenario::plainEndpoint(lastPlainEndpoint.get());
    leaving.isDraining = true;
    scenario.handle(EndpointsChanged { { leaving }, {} });
    const RequestId waiting = scenario.sendRequest("/write/3");
    scenario.clearActions();
    scenario.advance(Milliseconds(500));
    std::map<RequestId, Failure> answers;
    int aborted = 0;
    int cancelled = 0;
    for (const GatewayAction& action : scenario.takeActions()) {
        if (const auto* refused = std::get_if<RefuseRequest>(&action))
            answers[refused->request] = refused->failure;
        aborted += std::holds_alternative<AbortResponse>(action) ? 1 : 0;
        cancelled += std::holds_alternative<CancelExchange>(action) ? 1 : 0;
    }
    REQUIRE(answers.contains(sent));
    CHECK(answers.at(sent).run == Executed::Unknown);
    REQUIRE(answers.contains(waiting));
    CHECK(answers.at(waiting).run == Executed::No);
    CHECK(answers.at(waiting).retryAfter > Milliseconds(0));
    CHECK(aborted == 1);
    CHECK(cancelled == 2);
    CHECK(scenario.gatewayUnderTest().isDrained());
    CHECK(scenario.gatewayUnderTest().isStopComplete());
}

// Guards against streams that are accepted during a drain and cut by the exit, and against refusals whose callers come
// back to the same gateway.
TEST_CASE("A stopping gateway refuses a stream that is expected to outlast its exit, if its zone has another gateway")
{
    struct Case {
        std::uint64_t maxOutputTokens;
        const char* zoneOfOther;
        bool isOtherDraining;
        bool isAccepted;
    };
    for (const Case& each : { Case { 100, "north", false, true }, Case { 2000, "north", false, false },
             Case { 2000, "north", true, true }, Case { 2000, "south", false, true } }) {
        CAPTURE(each.maxOutputTokens);
        CAPTURE(each.zoneOfOther);
        CAPTURE(each.isOtherDraining);
        GatewayScenario scenario;
        const GatewayMember other { GatewayId("gateway-2"), { "10.0.0.99", 80 }, ZoneId(each.zoneOfOther) };
        GossipMessage gossip;
        gossip.instance = other.instance;
        gossip.incarnation = Incarnation(7);
        gossip.sequence = 1;
        gossip.isDraining = each.isOtherDraining;
        scenario.start().handle(MembersListed { { other } }).handle(GossipReceived { gossip });
        scenario.handle(GatewayStopRequested { scenario.now() }).advance(Milliseconds(500)).clearActions();
        scenario.sendStream(each.maxOutputTokens);
        CHECK(scenario.lastAction<StartExchange>().has_value() == each.isAccepted);
        const auto refused = scenario.lastAction<RefuseRequest>();
        REQUIRE(refused.has_value() != each.isAccepted);
        if (refused) {
            CHECK(refused->failure.code == ErrorCode::Stopping);
            CHECK(refused->failure.run == Executed::No);
        }
    }
}

// Guards against streams that a stopping gateway takes on by their expected length, which half of all streams exceed.
TEST_CASE("A stopping gateway refuses a stream whose longest output would outlast its exit")
{
    for (const std::uint64_t maxOutputTokens : { 600, 1000 }) {
        CAPTURE(maxOutputTokens);
        const bool isAccepted = maxOutputTokens == 600;
        GatewayScenario scenario;
        const GatewayMember other { GatewayId("gateway-2"), { "10.0.0.99", 80 }, ZoneId("north") };
        GossipMessage gossip;
        gossip.instance = other.instance;
        gossip.incarnation = Incarnation(7);
        gossip.sequence = 1;
        scenario.start().handle(MembersListed { { other } }).handle(GossipReceived { gossip });
        scenario.handle(GatewayStopRequested { scenario.now() }).advance(Milliseconds(500)).clearActions();
        scenario.sendStream(maxOutputTokens);
        CHECK(scenario.lastAction<StartExchange>().has_value() == isAccepted);
        CHECK(scenario.lastAction<RefuseRequest>().has_value() != isAccepted);
    }
}

// Guards against a drain that begins when the gateway hears of the signal, so that the platform's kill comes before its
// end.
TEST_CASE("The drain delay and the stop limit count from the stop signal")
{
    GatewayLimits limits;
    limits.stopLimit = Milliseconds(4000);
    GatewayScenario scenario(limits);
    scenario.start();
    scenario.sendRequest("/draft/1");
    scenario.handle(GatewayStopRequested { scenario.now() - Milliseconds(1000) });
    scenario.advance(Milliseconds(1700)).refreshFromStore().clearActions();
    scenario.sendRequest("/draft/2");
    CHECK(scenario.lastAction<RefuseRequest>());
    scenario.advance(Milliseconds(1250));
    CHECK_FALSE(scenario.gatewayUnderTest().isStopComplete());
    scenario.advance(Milliseconds(50));
    CHECK(scenario.gatewayUnderTest().isStopComplete());
}

// Guards against streams that a stop gives up for certain, on a forecast, although an engine holds their copy.
TEST_CASE("A stopping gateway resumes a broken stream of any length while its run has time for events before the exit")
{
    for (const std::uint64_t maxOutputTokens : { 400, 8000 }) {
        for (const bool hasTime : { true, false }) {
            CAPTURE(maxOutputTokens);
            CAPTURE(hasTime);
            GatewayLimits limits;
            limits.stopLimit = Milliseconds(3000);
            GatewayScenario scenario(limits);
            scenario.start();
            scenario.sendStream(maxOutputTokens);
            scenario.respond(GatewayScenario::streamStart());
            scenario.handle(EventsRelayed { scenario.lastExchange()->exchange, 5 });
            REQUIRE(scenario.lastExchange()->replicaAddress);
            scenario.handle(GatewayStopRequested { scenario.now() });
            scenario.advance(Milliseconds(hasTime ? 2400 : 2600)).clearActions();
            scenario.loseEngine();
            CHECK(scenario.lastAction<StartExchange>().has_value() == hasTime);
            CHECK(scenario.lastAction<AbortResponse>().has_value() != hasTime);
        }
    }
}

// Guards against broken streams that a stop gives up because some engine, not the one with their copy, is slow.
TEST_CASE("A stopping gateway resumes a broken stream although another engine is slow")
{
    GatewayLimits limits;
    limits.stopLimit = Milliseconds(3000);
    GatewayScenario scenario(limits);
    scenario.start();
    scenario.sendStream(400);
    scenario.respond(GatewayScenario::streamStart());
    scenario.advance(Milliseconds(3500));
    scenario.handle(EventsRelayed { scenario.lastExchange()->exchange, 1 });
    REQUIRE(scenario.lastExchange()->replicaAddress);
    scenario.handle(GatewayStopRequested { scenario.now() }).advance(Milliseconds(100)).clearActions();
    scenario.loseEngine();
    CHECK(scenario.lastAction<StartExchange>());
    CHECK_FALSE(scenario.lastAction<AbortResponse>());
}

// Guards against runs that are stopped at their endpoint shortly before the exit, after which no endpoint works on
// them.
TEST_CASE("A stopping gateway migrates a stream only if it is expected to end before the exit")
{
    for (const bool endsInTime : { true, false }) {
        CAPTURE(endsInTime);
        GatewayScenario scenario;
        scenario.start().disableReplicas();
        scenario.sendStream(endsInTime ? 800 : 8000);
        scenario.respond(GatewayScenario::streamStart());
        scenario.handle(EventsRelayed { scenario.lastExchange()->exchange, 5 });
        EndpointRecord leaving = GatewayScenario::engineEndpoint(scenario.lastExchange()->endpoint.get());
        leaving.isDraining = true;
        scenario.handle(GatewayStopRequested { scenario.now() }).clearActions();
        scenario.handle(EndpointsChanged { { leaving }, {} });
        CHECK(scenario.lastAction<StartMigration>().has_value() == endsInTime);
    }
}

// Guards against requests that are sent to an endpoint moments before the exit, where they may have run for nobody.
TEST_CASE("A request that waits in a stop is refused as not run, and not sent shortly before the limit")
{
    for (const char* path : { "/draft/1", "/write/1" }) {
        CAPTURE(path);
        GatewayLimits limits;
        limits.stopLimit = Milliseconds(3000);
        limits.queueWaitFraction = 10;
        GatewayScenario scenario(limits);
        scenario.start();
        ResponseSummary full = GatewayScenario::notRunRefusal();
        full.restTime = Milliseconds(2900);
        for (int endpoint = 0; endpoint < 3; ++endpoint) {
            scenario.sendRequest(path);
            scenario.respond(full);
        }
        scenario.clearActions();
        const RequestId waiting = scenario.sendRequest(path);
        REQUIRE_FALSE(scenario.lastAction<StartExchange>());
        REQUIRE_FALSE(scenario.lastAction<RefuseRequest>());
        scenario.handle(GatewayStopRequested { scenario.now() });
        scenario.advance(Milliseconds(2500)).refreshFromStore().advance(Milliseconds(550));
        CHECK_FALSE(scenario.lastAction<StartExchange>());
        const auto refused = scenario.lastAction<RefuseRequest>();
        REQUIRE(refused);
        CHECK(refused->request == waiting);
        CHECK(refused->failure.run == Executed::No);
    }
}

// Guards against retries that are sent moments before the exit.
TEST_CASE("A request that an endpoint refuses shortly before the limit of a stop is not sent again")
{
    GatewayLimits limits;
    limits.stopLimit = Milliseconds(3000);
    GatewayScenario scenario(limits);
    scenario.start();
    scenario.sendRequest("/read/1");
    scenario.handle(GatewayStopRequested { scenario.now() });
    scenario.advance(Milliseconds(2500)).refreshFromStore().advance(Milliseconds(450)).clearActions();
    scenario.respond(GatewayScenario::notRunRefusal());
    CHECK_FALSE(scenario.lastAction<StartExchange>());
    CHECK(scenario.lastAction<RefuseRequest>()->failure.run == Executed::No);
}

// Guards against forecasts that overflow for lengths that a caller made up.
TEST_CASE("A stopping gateway forecasts streams of any stated length")
{
    for (const std::uint64_t tokens : { std::uint64_t { 400'000 }, std::uint64_t { 1 } << 45U,
             std::uint64_t { 1 } << 62U, std::numeric_limits<std::uint64_t>::max() }) {
        CAPTURE(tokens);
        GatewayScenario scenario;
        const GatewayMember other { GatewayId("gateway-2"), { "10.0.0.99", 80 }, ZoneId("north") };
        GossipMessage gossip;
        gossip.instance = other.instance;
        gossip.incarnation = Incarnation(7);
        gossip.sequence = 1;
        scenario.start().handle(MembersListed { { other } }).handle(GossipReceived { gossip });
        scenario.handle(GatewayStopRequested { scenario.now() }).advance(Milliseconds(500)).clearActions();
        scenario.sendStream(tokens);
        CHECK_FALSE(scenario.lastAction<StartExchange>());
    }
}
