#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("A key is accepted only while the configuration is fresh")
{
    GatewayScenario scenario;
    scenario.start().advance(Milliseconds(4400)).clearActions();
    scenario.sendRequest("/write/1");
    CHECK(scenario.lastAction<StartExchange>());
    scenario.advance(Milliseconds(200)).clearActions();
    scenario.sendRequest("/write/2");
    CHECK_FALSE(scenario.lastAction<StartExchange>());
    const auto refused = scenario.lastAction<RefuseRequest>();
    REQUIRE(refused);
    CHECK(refused->failure.code == ErrorCode::StoreUnavailable);
    CHECK(refused->failure.run == Executed::No);
}

TEST_CASE("The age of data from the store is counted from the start of the read, not from its response")
{
    GatewayScenario scenario;
    scenario.start();
    const Instant readStartedAt = scenario.now();
    scenario.advance(Milliseconds(4000)).handle(StoreReadSucceeded { StoreSection::Configuration, readStartedAt });
    scenario.advance(Milliseconds(600)).clearActions();
    scenario.sendRequest("/write/1");
    CHECK_FALSE(scenario.lastAction<StartExchange>());
}

TEST_CASE("A waiting request is not sent once its key may have been revoked")
{
    GatewayLimits limits;
    limits.queueWaitFraction = 10;
    GatewayScenario scenario(limits);
    scenario.start().handle(EndpointsListed {}).clearActions();
    scenario.sendRequest("/write/1");
    scenario.advance(Milliseconds(4600)).handle(EndpointsListed { { GatewayScenario::plainEndpoint("p4") } });
    scenario.advance(Milliseconds(50));
    CHECK_FALSE(scenario.lastAction<StartExchange>());
}

TEST_CASE("A key that a newer configuration removed is refused, and an older configuration is ignored")
{
    GatewayScenario scenario;
    scenario.start();
    GatewayConfiguration newer = GatewayScenario::configuration(5);
    newer.teams->erase(newer.teams->begin());
    scenario.handle(ConfigurationRead { std::make_shared<const GatewayConfiguration>(newer) });
    scenario.handle(
        ConfigurationRead { std::make_shared<const GatewayConfiguration>(GatewayScenario::configuration(4)) });
    scenario.refreshFromStore().clearActions();
    scenario.sendRequest("/write/1", "key-a");
    const auto refused = scenario.lastAction<RefuseRequest>();
    REQUIRE(refused);
    CHECK(refused->failure.code == ErrorCode::Unauthorized);
}
