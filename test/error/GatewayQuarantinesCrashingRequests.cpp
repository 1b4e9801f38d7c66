#include "core/gateway/EndpointHash.h"
#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

/** @return limits under which a failing endpoint is not ejected, so that a later request is sent to it. */
GatewayLimits limitsWithoutEjection()
{
    GatewayLimits limits;
    limits.ejectionFailures = 100;
    return limits;
}

/**
 * Breaks a request's connection, then sends requests until one goes to the same endpoint, and ends that one.
 * @param end how the connection of that one ends; an endpoint that crashed refuses it.
 */
void breakAndTryAgain(GatewayScenario& scenario, Fingerprint fingerprint, ExchangeEnd end)
{
    scenario.sendRequestWithFingerprint("/write/1", fingerprint);
    const EndpointId endpoint = scenario.lastExchange()->endpoint;
    scenario.endExchange(ExchangeEnd::Broken);
    constexpr int maxRequests = 6;
    for (int request = 0; request < maxRequests; ++request) {
        scenario.sendRequest("/write/2");
        if (scenario.lastExchange()->endpoint == endpoint)
            break;
    }
    REQUIRE(scenario.lastExchange()->endpoint == endpoint);
    scenario.endExchange(end);
    scenario.advance(Milliseconds(3000)).refreshFromStore();
}

void crashEndpoint(GatewayScenario& scenario, Fingerprint fingerprint)
{
    breakAndTryAgain(scenario, fingerprint, ExchangeEnd::Refused);
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
    scenario.sendRequestWithFingerprint("/write/1", fingerprint);
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
        scenario.sendRequestWithFingerprint("/write/1", fingerprint);
        scenario.endExchange(ExchangeEnd::Broken);
        scenario.advance(Milliseconds(2500)).refreshFromStore();
    }
    scenario.clearActions();
    scenario.sendRequestWithFingerprint("/write/1", fingerprint);
    CHECK(scenario.lastAction<StartExchange>());
}

// Guards against sound requests that are quarantined because their endpoints are cut off or too busy for a connection.
TEST_CASE("A connection that does not come about in time shows no crash")
{
    GatewayScenario scenario(limitsWithoutEjection());
    scenario.start();
    const Fingerprint fingerprint(4711);
    for (int run = 0; run < 3; ++run)
        breakAndTryAgain(scenario, fingerprint, ExchangeEnd::NotConnected);
    scenario.clearActions();
    scenario.sendRequestWithFingerprint("/write/1", fingerprint);
    CHECK(scenario.lastAction<StartExchange>());
}

// Guards against sound requests that are quarantined because their answers were cut or spoiled by endpoints that went
// on, and that refuse connections later for another reason.
TEST_CASE("A request whose answers are cut or spoiled is not blamed once its endpoint accepts a connection")
{
    for (const ExchangeEnd end : { ExchangeEnd::Broken, ExchangeEnd::Spoiled }) {
        for (const char* path : { "/read/1", "/write/1", "/draft/1" }) {
            CAPTURE(path);
            GatewayScenario scenario(limitsWithoutEjection());
            scenario.start();
            const Fingerprint fingerprint(4711);
            for (int run = 0; run < 4; ++run) {
                scenario.sendRequestWithFingerprint(path, fingerprint);
                const EndpointId endpoint = scenario.lastExchange()->endpoint;
                scenario.endExchange(end);
                scenario.advance(Milliseconds(150));
                const auto probe = scenario.lastAction<ProbeEndpoint>();
                REQUIRE(probe);
                CHECK(probe->endpoint == endpoint);
                scenario.handle(EndpointProbed { endpoint, ProbeOutcome::Accepted });
                GossipMessage message;
                message.instance = GatewayId("gateway-2");
                message.sequence = static_cast<std::uint64_t>(run) + 1;
                message.refusedConnections.push_back({ endpointHashOf(endpoint), Milliseconds(0) });
                scenario.advance(Milliseconds(1000)).handle(GossipReceived { message });
                scenario.advance(Milliseconds(9000)).refreshFromStore().clearActions();
            }
            scenario.sendRequestWithFingerprint(path, fingerprint);
            CHECK(scenario.lastAction<StartExchange>());
        }
    }
}

// Guards against sound requests that are quarantined because their answers were lost and the endpoints crashed later.
TEST_CASE("A request whose answers never come is not blamed for a crash after its deadline")
{
    GatewayScenario scenario(limitsWithoutEjection());
    scenario.start();
    const Fingerprint fingerprint(4711);
    for (int run = 0; run < 4; ++run) {
        scenario.sendRequestWithFingerprint("/write/1", fingerprint);
        GossipMessage message;
        message.instance = GatewayId("gateway-2");
        message.sequence = static_cast<std::uint64_t>(run) + 1;
        message.refusedConnections.push_back({ endpointHashOf(scenario.lastExchange()->endpoint), Milliseconds(0) });
        scenario.advance(Milliseconds(6000)).handle(GossipReceived { message });
        scenario.advance(Milliseconds(4000)).refreshFromStore().clearActions();
    }
    scenario.sendRequestWithFingerprint("/write/1", fingerprint);
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
    scenario.sendRequestWithFingerprint("/write/1", Fingerprint(4711));
    CHECK(scenario.lastAction<RefuseRequest>());
}
