#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

/** @return the first message of a gateway that has no load. */
GossipMessage firstMessageOf(const std::string& instance)
{
    GossipMessage message;
    message.instance = GatewayId(instance);
    message.incarnation = Incarnation(1);
    message.sequence = 1;
    return message;
}

/** @return the number of 20 simultaneous requests that are sent to the only endpoint, which is cold. */
int countSentToColdEndpoint(GatewayScenario& scenario)
{
    EndpointRecord cold = GatewayScenario::plainEndpoint("p4");
    cold.coldRemaining = Milliseconds(60000);
    scenario.handle(EndpointsListed { { cold } });
    int sent = 0;
    for (int request = 0; request < 20; ++request) {
        scenario.clearActions();
        scenario.sendRequest("/write/1");
        sent += scenario.lastAction<StartExchange>() ? 1 : 0;
    }
    return sent;
}

}

TEST_CASE("The request rate limit of a cold endpoint is divided among the listed gateways")
{
    // The limit is five requests per second for all gateways together, of which 80 percent are used.
    GatewayScenario single;
    single.start().handle(MembersListed { { { GatewayId("gateway-1"), {} } } });
    CHECK(countSentToColdEndpoint(single) == 4);

    GatewayScenario pair;
    pair.start().handle(MembersListed { { { GatewayId("gateway-1"), {} }, { GatewayId("gateway-2"), {} } } });
    CHECK(countSentToColdEndpoint(pair) == 2);
}

TEST_CASE("A gateway without a list of the gateways sends only one of simultaneous requests to a cold endpoint")
{
    GatewayScenario scenario;
    scenario.start();
    CHECK(countSentToColdEndpoint(scenario) == 1);
}

TEST_CASE("The cold limit is also divided among gateways that send gossip but are not listed")
{
    GatewayScenario scenario;
    scenario.start().handle(MembersListed { { { GatewayId("gateway-1"), {} } } });
    scenario.handle(GossipReceived { firstMessageOf("gateway-2") })
        .handle(GossipReceived { firstMessageOf("gateway-3") });
    scenario.handle(GossipReceived { firstMessageOf("gateway-4") });
    CHECK(countSentToColdEndpoint(scenario) == 1);
}
