#include "core/entry/Rendezvous.h"
#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

EndpointUsage waitingPrompts(const char* engine, std::uint32_t tokens)
{
    return { static_cast<std::uint32_t>(hashOf(engine)), 0, 0, tokens };
}

}

TEST_CASE("A stream goes where no prompts of other gateways wait to be read")
{
    GatewayScenario scenario;
    scenario.start();
    GossipMessage gossip;
    gossip.instance = GatewayId("gateway-2");
    gossip.sequence = 1;
    gossip.usages = { waitingPrompts("e1", 20000), waitingPrompts("e3", 20000) };
    scenario.give(GossipReceived { gossip });
    scenario.arrive("/draft/1");
    CHECK(scenario.lastOrder()->endpoint == EndpointId("e2"));
}

TEST_CASE("A prompt waits until its stream's first event")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.arrive("/draft/1");
    const ExchangeId exchange = scenario.lastOrder()->exchange;
    scenario.pass(Milliseconds(500));
    const auto waiting = scenario.take<SendGossip>();
    REQUIRE(waiting);
    REQUIRE_FALSE(waiting->gossip.usages.empty());
    CHECK(waiting->gossip.usages.front().promptTokens == 1000);
    scenario.give(ResponseReceived { exchange, GatewayScenario::stream() });
    scenario.give(EventsRelayed { exchange, 1 });
    scenario.forget();
    scenario.pass(Milliseconds(500));
    const auto running = scenario.take<SendGossip>();
    REQUIRE(running);
    REQUIRE_FALSE(running->gossip.usages.empty());
    CHECK(running->gossip.usages.front().promptTokens == 0);
}
