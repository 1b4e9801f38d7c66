#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("A stopping gateway still serves while the balancer looks elsewhere")
{
    GatewayScenario scenario;
    scenario.start().give(GatewayStopRequested {}).pass(Milliseconds(1000)).storeAnswers();
    CHECK_FALSE(scenario.decisions().isReady(scenario.now()));
    scenario.forget();
    scenario.arrive("/draft/1");
    CHECK(scenario.take<StartExchange>());
}

TEST_CASE("A stopping gateway takes nothing that cannot be done before its end")
{
    GatewayScenario scenario;
    scenario.start().give(GatewayStopRequested {}).pass(Milliseconds(2900)).storeAnswers();
    scenario.forget();
    scenario.arrive("/draft/1");
    const auto refused = scenario.take<RefuseRequest>();
    REQUIRE(refused);
    CHECK(refused->failure.code == ErrorCode::Stopping);
    CHECK(refused->failure.run == Executed::No);
    CHECK_FALSE(scenario.take<StartExchange>());
}

TEST_CASE("A gateway is drained when its last request is answered")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.arrive("/write/1");
    scenario.give(GatewayStopRequested {});
    CHECK_FALSE(scenario.decisions().isDrained());
    scenario.answer(GatewayScenario::success());
    scenario.end(ExchangeEnd::Complete);
    CHECK(scenario.decisions().isDrained());
}
