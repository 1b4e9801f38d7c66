#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

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

// Guards against a drain that begins when the gateway hears of the signal, so that the platform's kill comes before its end.
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
