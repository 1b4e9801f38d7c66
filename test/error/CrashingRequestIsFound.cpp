#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

/** Failures do not keep requests from an endpoint, so that it is found to be gone. */
GatewayLimits withoutEjection()
{
    GatewayLimits limits;
    limits.ejectionFailures = 100;
    return limits;
}

/** One run of a request that crashes its endpoint, and the next request that finds the endpoint gone. */
void crashOnce(GatewayScenario& scenario, Fingerprint fingerprint)
{
    scenario.arriveAgain("/write/1", fingerprint);
    const EndpointId endpoint = scenario.lastOrder()->endpoint;
    scenario.end(ExchangeEnd::Broken);
    constexpr int enough = 6;
    for (int request = 0; request < enough; ++request) {
        scenario.arrive("/write/2");
        if (scenario.lastOrder()->endpoint == endpoint)
            break;
    }
    REQUIRE(scenario.lastOrder()->endpoint == endpoint);
    scenario.end(ExchangeEnd::NotConnected);
    scenario.pass(Milliseconds(3000)).storeAnswers();
}

}

TEST_CASE("A request that ran where two endpoints crashed is refused")
{
    GatewayScenario scenario(withoutEjection());
    scenario.start();
    const Fingerprint fingerprint(4711);
    crashOnce(scenario, fingerprint);
    crashOnce(scenario, fingerprint);
    scenario.forget();
    scenario.arriveAgain("/write/1", fingerprint);
    const auto refused = scenario.take<RefuseRequest>();
    REQUIRE(refused);
    CHECK(refused->failure.code == ErrorCode::Quarantined);
}

TEST_CASE("A request whose connection broke at a sound endpoint is no suspect")
{
    GatewayScenario scenario;
    scenario.start();
    const Fingerprint fingerprint(4711);
    for (int run = 0; run < 4; ++run) {
        scenario.arriveAgain("/write/1", fingerprint);
        scenario.end(ExchangeEnd::Broken);
        scenario.pass(Milliseconds(2500)).storeAnswers();
    }
    scenario.forget();
    scenario.arriveAgain("/write/1", fingerprint);
    CHECK(scenario.take<StartExchange>());
}

TEST_CASE("A request that crashed endpoints of other gateways is refused here too")
{
    GatewayScenario scenario;
    scenario.start();
    GossipMessage news;
    news.instance = GatewayId("gateway-2");
    news.sequence = 1;
    news.suspects.suspects.push_back({ Fingerprint(4711), 2, Milliseconds(60000) });
    scenario.give(GossipReceived { news }).forget();
    scenario.arriveAgain("/write/1", Fingerprint(4711));
    CHECK(scenario.take<RefuseRequest>());
}
