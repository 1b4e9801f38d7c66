#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("Before a configuration is known nothing is called not found")
{
    GatewayScenario scenario;
    scenario.arrive("/nowhere/1");
    const auto refused = scenario.take<RefuseRequest>();
    REQUIRE(refused);
    CHECK(refused->failure.code == ErrorCode::NotReady);
    CHECK_FALSE(scenario.decisions().isReady(scenario.now()));
}

TEST_CASE("A missing route is not found only while the configuration is fresh")
{
    GatewayScenario scenario;
    scenario.start().forget();
    scenario.arrive("/nowhere/1");
    CHECK(scenario.take<RefuseRequest>()->failure.code == ErrorCode::NotFound);
    scenario.pass(Milliseconds(2000)).forget();
    scenario.arrive("/nowhere/2");
    CHECK(scenario.take<RefuseRequest>()->failure.code == ErrorCode::NotReady);
}

TEST_CASE("A gateway is ready when it knows the configuration and the endpoints and both are fresh")
{
    GatewayScenario scenario;
    scenario.start();
    CHECK(scenario.decisions().isReady(scenario.now()));
    scenario.pass(Milliseconds(4600));
    CHECK_FALSE(scenario.decisions().isReady(scenario.now()));
}
