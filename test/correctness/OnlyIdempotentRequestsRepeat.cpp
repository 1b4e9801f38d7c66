#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("An idempotent request whose endpoint failed goes to another one, once")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.arrive("/read/1");
    const EndpointId first = scenario.lastOrder()->endpoint;
    scenario.forget();
    scenario.answer(GatewayScenario::failure(500));
    REQUIRE(scenario.take<StartExchange>());
    CHECK(scenario.lastOrder()->endpoint != first);
    scenario.forget();
    scenario.answer(GatewayScenario::failure(500));
    CHECK_FALSE(scenario.take<StartExchange>());
    CHECK(scenario.take<RelayResponse>());
}

TEST_CASE("A request that must not repeat is sent once, whatever comes of it")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.arrive("/write/1");
    scenario.forget();
    scenario.answer(GatewayScenario::failure(500));
    CHECK_FALSE(scenario.take<StartExchange>());
    CHECK(scenario.take<RelayResponse>());
}

TEST_CASE("A request that could not be sent goes elsewhere without using an attempt")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.arrive("/write/1");
    const EndpointId first = scenario.lastOrder()->endpoint;
    scenario.forget();
    scenario.end(ExchangeEnd::NotConnected);
    REQUIRE(scenario.take<StartExchange>());
    CHECK(scenario.lastOrder()->endpoint != first);
}

TEST_CASE("A request that reached another endpoint at a reused address goes to the next one")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.arrive("/write/1");
    const EndpointId first = scenario.lastOrder()->endpoint;
    ResponseSummary misdirected;
    misdirected.status = 421;
    misdirected.notExecuted = true;
    misdirected.isMisdirected = true;
    scenario.forget();
    scenario.answer(misdirected);
    REQUIRE(scenario.take<StartExchange>());
    CHECK(scenario.lastOrder()->endpoint != first);
}

TEST_CASE("Retries stop when the budget of all gateways is spent")
{
    GatewayLimits limits;
    limits.retryHeadroom = 20;
    limits.retryBudgetRatio = 0;
    GatewayScenario scenario(limits);
    scenario.start().give(MembersListed { { { GatewayId("gateway-1"), {} }, { GatewayId("gateway-2"), {} } } });
    int retries = 0;
    for (int request = 0; request < 40; ++request) {
        scenario.arrive("/read/1");
        scenario.forget();
        scenario.answer(GatewayScenario::failure(500));
        const bool retried = scenario.take<StartExchange>().has_value();
        retries += retried ? 1 : 0;
        if (retried)
            scenario.answer(GatewayScenario::failure(500));
        scenario.end(ExchangeEnd::Complete);
    }
    CHECK(retries == 4);
}
