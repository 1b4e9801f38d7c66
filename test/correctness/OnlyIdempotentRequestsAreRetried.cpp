#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("An idempotent request is retried once at another endpoint after a failure")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.sendRequest("/read/1");
    const EndpointId first = scenario.lastExchange()->endpoint;
    scenario.clearActions();
    scenario.respond(GatewayScenario::failure(500));
    REQUIRE(scenario.lastAction<StartExchange>());
    CHECK(scenario.lastExchange()->endpoint != first);
    scenario.clearActions();
    scenario.respond(GatewayScenario::failure(500));
    CHECK_FALSE(scenario.lastAction<StartExchange>());
    CHECK(scenario.lastAction<RelayResponse>());
}

TEST_CASE("A non-idempotent request is not retried after an endpoint has processed it")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.sendRequest("/write/1");
    scenario.clearActions();
    scenario.respond(GatewayScenario::failure(500));
    CHECK_FALSE(scenario.lastAction<StartExchange>());
    CHECK(scenario.lastAction<RelayResponse>());
}

TEST_CASE("A request whose connection failed is sent to another endpoint without counting the attempt")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.sendRequest("/write/1");
    const EndpointId first = scenario.lastExchange()->endpoint;
    scenario.clearActions();
    scenario.endExchange(ExchangeEnd::NotConnected);
    REQUIRE(scenario.lastAction<StartExchange>());
    CHECK(scenario.lastExchange()->endpoint != first);
}

TEST_CASE("A request that reaches a different endpoint at a reused address is sent to another endpoint")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.sendRequest("/write/1");
    const EndpointId first = scenario.lastExchange()->endpoint;
    ResponseSummary misdirected;
    misdirected.status = 421;
    misdirected.notExecuted = true;
    misdirected.isMisdirected = true;
    scenario.clearActions();
    scenario.respond(misdirected);
    REQUIRE(scenario.lastAction<StartExchange>());
    CHECK(scenario.lastExchange()->endpoint != first);
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
        scenario.sendRequest("/read/1");
        scenario.clearActions();
        scenario.respond(GatewayScenario::failure(500));
        const bool retried = scenario.lastAction<StartExchange>().has_value();
        retries += retried ? 1 : 0;
        if (retried)
            scenario.respond(GatewayScenario::failure(500));
        scenario.endExchange(ExchangeEnd::Complete);
    }
    CHECK(retries == 4);
}
