#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

/** @return the first message of a gateway, without any load. */
GossipMessage firstMessageOf(const std::string& instance)
{
    GossipMessage message;
    message.instance = GatewayId(instance);
    message.incarnation = Incarnation(1);
    message.sequence = 1;
    return message;
}

/** @return how many of 20 simultaneous requests are sent when the only endpoint is cold. */
int countSentToColdEndpoint(GatewayScenario& scenario)
{
    EndpointRecord cold = GatewayScenario::plain("p4");
    cold.coldRemaining = Milliseconds(60000);
    scenario.handle(EndpointsListed { { cold } });
    int sent = 0;
    for (int request = 0; request < 20; ++request) {
        scenario.clearActions();
        scenario.arrive("/write/1");
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

TEST_CASE("A gateway without a member list uses the smallest share of the cold limit")
{
    GatewayScenario scenario;
    scenario.start();
    CHECK(countSentToColdEndpoint(scenario) == 1);
}

TEST_CASE("Gateways that send gossip but are not listed also share the cold limit")
{
    GatewayScenario scenario;
    scenario.start().handle(MembersListed { { { GatewayId("gateway-1"), {} } } });
    scenario.handle(GossipReceived { firstMessageOf("gateway-2") })
        .handle(GossipReceived { firstMessageOf("gateway-3") });
    scenario.handle(GossipReceived { firstMessageOf("gateway-4") });
    CHECK(countSentToColdEndpoint(scenario) == 1);
}
