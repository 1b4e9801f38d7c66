#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("An idempotent request is retried once at another endpoint after a failure")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.arrive("/read/1");
    const EndpointId first = scenario.lastOrder()->endpoint;
    scenario.clearActions();
    scenario.answer(GatewayScenario::failure(500));
    REQUIRE(scenario.lastAction<StartExchange>());
    CHECK(scenario.lastOrder()->endpoint != first);
    scenario.clearActions();
    scenario.answer(GatewayScenario::failure(500));
    CHECK_FALSE(scenario.lastAction<StartExchange>());
    CHECK(scenario.lastAction<RelayResponse>());
}

TEST_CASE("A non-idempotent request is not retried after an endpoint has processed it")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.arrive("/write/1");
    scenario.clearActions();
    scenario.answer(GatewayScenario::failure(500));
    CHECK_FALSE(scenario.lastAction<StartExchange>());
    CHECK(scenario.lastAction<RelayResponse>());
}

TEST_CASE("A request whose connection failed is sent to another endpoint without counting the attempt")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.arrive("/write/1");
    const EndpointId first = scenario.lastOrder()->endpoint;
    scenario.clearActions();
    scenario.end(ExchangeEnd::NotConnected);
    REQUIRE(scenario.lastAction<StartExchange>());
    CHECK(scenario.lastOrder()->endpoint != first);
}

TEST_CASE("A request that a different endpoint rejected at a reused address is sent to another endpoint")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.arrive("/write/1");
    const EndpointId first = scenario.lastOrder()->endpoint;
    ResponseSummary misdirected;
    misdirected.status = 421;
    misdirected.notExecuted = true;
    misdirected.isMisdirected = true;
    scenario.clearActions();
    scenario.answer(misdirected);
    REQUIRE(scenario.lastAction<StartExchange>());
    CHECK(scenario.lastOrder()->endpoint != first);
}

TEST_CASE("Retries stop when this gateway's part of the retry budget is spent")
{
    GatewayLimits limits;
    limits.retryHeadroom = 20;
    limits.retryBudgetRatio = 0;
    GatewayScenario scenario(limits);
    scenario.start().handle(MembersListed { { { GatewayId("gateway-1"), {} }, { GatewayId("gateway-2"), {} } } });
    int retries = 0;
    for (int request = 0; request < 40; ++request) {
        scenario.arrive("/read/1");
        scenario.clearActions();
        scenario.answer(GatewayScenario::failure(500));
        const bool retried = scenario.lastAction<StartExchange>().has_value();
        retries += retried ? 1 : 0;
        if (retried)
            scenario.answer(GatewayScenario::failure(500));
        scenario.end(ExchangeEnd::Complete);
    }
    CHECK(retries == 4);
}
