#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("Without a configuration a request is refused as not ready, not as not found")
{
    GatewayScenario scenario;
    scenario.sendRequest("/nowhere/1");
    const auto refused = scenario.lastAction<RefuseRequest>();
    REQUIRE(refused);
    CHECK(refused->failure.code == ErrorCode::NotReady);
    CHECK_FALSE(scenario.gatewayUnderTest().isReady(scenario.now()));
}

TEST_CASE("A request without a route is refused as not found only while the configuration is fresh")
{
    GatewayScenario scenario;
    scenario.start().clearActions();
    scenario.sendRequest("/nowhere/1");
    CHECK(scenario.lastAction<RefuseRequest>()->failure.code == ErrorCode::NotFound);
    scenario.advance(Milliseconds(2000)).clearActions();
    scenario.sendRequest("/nowhere/2");
    CHECK(scenario.lastAction<RefuseRequest>()->failure.code == ErrorCode::NotReady);
}

TEST_CASE("A gateway is ready only with endpoints and a fresh configuration")
{
    GatewayScenario scenario;
    scenario.start();
    CHECK(scenario.gatewayUnderTest().isReady(scenario.now()));
    scenario.advance(Milliseconds(4600));
    CHECK_FALSE(scenario.gatewayUnderTest().isReady(scenario.now()));
}
