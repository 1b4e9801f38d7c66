#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

GossipMessage newsOf(const std::string& instance)
{
    GossipMessage news;
    news.instance = GatewayId(instance);
    news.incarnation = Incarnation(1);
    news.sequence = 1;
    return news;
}

int sentToOneColdEndpoint(GatewayScenario& scenario)
{
    EndpointRecord cold = GatewayScenario::plain("p4");
    cold.coldRemaining = Milliseconds(60000);
    scenario.give(EndpointsListed { { cold } });
    int sent = 0;
    for (int request = 0; request < 20; ++request) {
        scenario.forget();
        scenario.arrive("/write/1");
        sent += scenario.take<StartExchange>() ? 1 : 0;
    }
    return sent;
}

}

TEST_CASE("What a cold endpoint bears is divided by the gateways that share it")
{
    // Five requests a second in all, of which four fifths are used.
    GatewayScenario alone;
    alone.start().give(MembersListed { { { GatewayId("gateway-1"), {} } } });
    CHECK(sentToOneColdEndpoint(alone) == 4);

    GatewayScenario pair;
    pair.start().give(MembersListed { { { GatewayId("gateway-1"), {} }, { GatewayId("gateway-2"), {} } } });
    CHECK(sentToOneColdEndpoint(pair) == 2);
}

TEST_CASE("A gateway that does not know the others takes the smallest share")
{
    GatewayScenario scenario;
    scenario.start();
    CHECK(sentToOneColdEndpoint(scenario) == 1);
}

TEST_CASE("Gateways that are heard but not listed count as well")
{
    GatewayScenario scenario;
    scenario.start().give(MembersListed { { { GatewayId("gateway-1"), {} } } });
    scenario.give(GossipReceived { newsOf("gateway-2") }).give(GossipReceived { newsOf("gateway-3") });
    scenario.give(GossipReceived { newsOf("gateway-4") });
    CHECK(sentToOneColdEndpoint(scenario) == 1);
}
