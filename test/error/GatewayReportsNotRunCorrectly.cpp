#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("A request that the endpoint refused without running it is reported as not run")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.sendRequest("/write/1");
    scenario.respond(GatewayScenario::notRunRefusal());
    const auto refused = scenario.lastAction<RefuseRequest>();
    REQUIRE(refused);
    CHECK(refused->failure.run == Executed::No);
}

TEST_CASE("A request whose connection broke is not reported as not run")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.sendRequest("/write/1");
    scenario.endExchange(ExchangeEnd::Broken);
    const auto refused = scenario.lastAction<RefuseRequest>();
    REQUIRE(refused);
    CHECK(refused->failure.run == Executed::Unknown);
}

TEST_CASE("A stream that may have run is not reported as not run when the engine with its copy refuses to resume it")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.sendRequest("/draft/1");
    REQUIRE(scenario.lastExchange()->replicaAddress);
    scenario.loseEngine();
    REQUIRE(scenario.lastExchange()->resume);
    scenario.respond(GatewayScenario::notRunRefusal());
    const auto refused = scenario.lastAction<RefuseRequest>();
    REQUIRE(refused);
    CHECK(refused->failure.run == Executed::Unknown);
}

TEST_CASE("A request that is at an endpoint at its deadline is not reported as not run")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.sendRequest("/write/1");
    scenario.advance(Milliseconds(5100));
    const auto refused = scenario.lastAction<RefuseRequest>();
    REQUIRE(refused);
    CHECK(refused->failure.run == Executed::Unknown);
    CHECK(refused->failure.code == ErrorCode::DeadlineExceeded);
}

TEST_CASE("A refusal without the endpoint's statement that nothing ran is not reported as not run")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.sendRequest("/write/1");
    scenario.respond(GatewayScenario::failure(503));
    const auto refused = scenario.lastAction<RefuseRequest>();
    REQUIRE(refused);
    CHECK(refused->failure.run == Executed::Unknown);
}

TEST_CASE("A stream that may have run is not restarted when the engine with its copy is unreachable")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.sendRequest("/draft/1");
    scenario.loseEngine();
    REQUIRE(scenario.lastExchange()->resume);
    scenario.clearActions();
    scenario.endExchange(ExchangeEnd::NotConnected);
    const auto started = scenario.lastAction<StartExchange>();
    CHECK((!started || started->parameters.resume));
}
