#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

/** @return limits under which a failing endpoint is not ejected, so that a later request finds it gone. */
GatewayLimits limitsWithoutEjection()
{
    GatewayLimits limits;
    limits.ejectionFailures = 100;
    return limits;
}

/** Sends a request that crashes its endpoint, and then requests until one finds the endpoint gone. */
void crashEndpoint(GatewayScenario& scenario, Fingerprint fingerprint)
{
    scenario.arriveWithFingerprint("/write/1", fingerprint);
    const EndpointId endpoint = scenario.lastOrder()->endpoint;
    scenario.end(ExchangeEnd::Broken);
    constexpr int maxRequests = 6;
    for (int request = 0; request < maxRequests; ++request) {
        scenario.arrive("/write/2");
        if (scenario.lastOrder()->endpoint == endpoint)
            break;
    }
    REQUIRE(scenario.lastOrder()->endpoint == endpoint);
    scenario.end(ExchangeEnd::NotConnected);
    scenario.advance(Milliseconds(3000)).answerFromStore();
}

}

TEST_CASE("A request that was running at two endpoints when they crashed is quarantined")
{
    GatewayScenario scenario(limitsWithoutEjection());
    scenario.start();
    const Fingerprint fingerprint(4711);
    crashEndpoint(scenario, fingerprint);
    crashEndpoint(scenario, fingerprint);
    scenario.clearActions();
    scenario.arriveWithFingerprint("/write/1", fingerprint);
    const auto refused = scenario.lastAction<RefuseRequest>();
    REQUIRE(refused);
    CHECK(refused->failure.code == ErrorCode::Quarantined);
}

TEST_CASE("A broken connection to an endpoint that did not crash does not make the request a suspect")
{
    GatewayScenario scenario;
    scenario.start();
    const Fingerprint fingerprint(4711);
    for (int run = 0; run < 4; ++run) {
        scenario.arriveWithFingerprint("/write/1", fingerprint);
        scenario.end(ExchangeEnd::Broken);
        scenario.advance(Milliseconds(2500)).answerFromStore();
    }
    scenario.clearActions();
    scenario.arriveWithFingerprint("/write/1", fingerprint);
    CHECK(scenario.lastAction<StartExchange>());
}

TEST_CASE("A suspect reported by another gateway is refused")
{
    GatewayScenario scenario;
    scenario.start();
    GossipMessage message;
    message.instance = GatewayId("gateway-2");
    message.sequence = 1;
    message.suspects.suspects.push_back({ Fingerprint(4711), 2, Milliseconds(60000) });
    scenario.handle(GossipReceived { message }).clearActions();
    scenario.arriveWithFingerprint("/write/1", Fingerprint(4711));
    CHECK(scenario.lastAction<RefuseRequest>());
}
