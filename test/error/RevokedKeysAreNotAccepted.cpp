#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("A key is accepted only while the configuration is known to be fresh")
{
    GatewayScenario scenario;
    scenario.start().pass(Milliseconds(4400)).forget();
    scenario.arrive("/write/1");
    CHECK(scenario.take<StartExchange>());
    scenario.pass(Milliseconds(200)).forget();
    scenario.arrive("/write/2");
    CHECK_FALSE(scenario.take<StartExchange>());
    const auto refused = scenario.take<RefuseRequest>();
    REQUIRE(refused);
    CHECK(refused->failure.code == ErrorCode::StoreUnavailable);
    CHECK(refused->failure.run == Executed::No);
}

TEST_CASE("An answer of the store proves its state as of when it was asked, not when it came")
{
    GatewayScenario scenario;
    scenario.start();
    const Instant readStartedAt = scenario.now();
    scenario.pass(Milliseconds(4000)).give(StoreReadSucceeded { StoreSection::Configuration, readStartedAt });
    scenario.pass(Milliseconds(600)).forget();
    scenario.arrive("/write/1");
    CHECK_FALSE(scenario.take<StartExchange>());
}

TEST_CASE("A request that waits is not sent with a key that may have been taken away meanwhile")
{
    GatewayLimits limits;
    limits.queueWaitFraction = 10;
    GatewayScenario scenario(limits);
    scenario.start().give(EndpointsListed {}).forget();
    scenario.arrive("/write/1");
    scenario.pass(Milliseconds(4600)).give(EndpointsListed { { GatewayScenario::plain("p4") } });
    scenario.pass(Milliseconds(50));
    CHECK_FALSE(scenario.take<StartExchange>());
}

TEST_CASE("A key that is gone from a newer version is refused, and an older version changes nothing")
{
    GatewayScenario scenario;
    scenario.start();
    GatewayConfiguration newer = GatewayScenario::configuration(5);
    newer.teams->erase(newer.teams->begin());
    scenario.give(ConfigurationRead { std::make_shared<const GatewayConfiguration>(newer) });
    scenario.give(
        ConfigurationRead { std::make_shared<const GatewayConfiguration>(GatewayScenario::configuration(4)) });
    scenario.storeAnswers().forget();
    scenario.arrive("/write/1", "key-a");
    const auto refused = scenario.take<RefuseRequest>();
    REQUIRE(refused);
    CHECK(refused->failure.code == ErrorCode::Unauthorized);
}
