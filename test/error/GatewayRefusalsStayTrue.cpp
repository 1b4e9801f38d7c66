#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("A request that nothing was sent for is refused as not run")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.arrive("/write/1");
    scenario.answer(GatewayScenario::full());
    const auto refused = scenario.take<RefuseRequest>();
    REQUIRE(refused);
    CHECK(refused->failure.run == Executed::No);
}

TEST_CASE("A request whose connection broke may have run, so it is never called not run")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.arrive("/write/1");
    scenario.end(ExchangeEnd::Broken);
    const auto refused = scenario.take<RefuseRequest>();
    REQUIRE(refused);
    CHECK(refused->failure.run == Executed::Unknown);
}

TEST_CASE("A stream that ran before is not called not run when its copy cannot be found")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.arrive("/draft/1");
    REQUIRE(scenario.lastOrder()->replicaAt);
    scenario.end(ExchangeEnd::Broken);
    REQUIRE(scenario.lastOrder()->resume);
    scenario.answer(GatewayScenario::full());
    const auto refused = scenario.take<RefuseRequest>();
    REQUIRE(refused);
    CHECK(refused->failure.run == Executed::Unknown);
}

TEST_CASE("A request at an endpoint when its time is up may have run")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.arrive("/write/1");
    scenario.pass(Milliseconds(5100));
    const auto refused = scenario.take<RefuseRequest>();
    REQUIRE(refused);
    CHECK(refused->failure.run == Executed::Unknown);
    CHECK(refused->failure.code == ErrorCode::DeadlineExceeded);
}

TEST_CASE("A refusal of an endpoint without its word that nothing ran is no promise")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.arrive("/write/1");
    scenario.answer(GatewayScenario::failure(503));
    const auto refused = scenario.take<RefuseRequest>();
    REQUIRE(refused);
    CHECK(refused->failure.run == Executed::Unknown);
}

TEST_CASE("A stream that may have run is not begun anew when the engine with its copy cannot be reached")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.arrive("/draft/1");
    scenario.end(ExchangeEnd::Broken);
    REQUIRE(scenario.lastOrder()->resume);
    scenario.forget();
    scenario.end(ExchangeEnd::NotConnected);
    const auto started = scenario.take<StartExchange>();
    CHECK((!started || started->parameters.resume));
}
