#include "core/entry/Rendezvous.h"
#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

/** @return the usage of an engine that has pending prompt tokens and no other load. */
EndpointUsage pendingPrompts(const char* engine, std::uint32_t tokens)
{
    return { static_cast<std::uint32_t>(hashOf(engine)), 0, 0, tokens };
}

}

TEST_CASE("A stream is sent to the engine that has no pending prompts of other gateways")
{
    GatewayScenario scenario;
    scenario.start();
    GossipMessage message;
    message.instance = GatewayId("gateway-2");
    message.sequence = 1;
    message.usages = { pendingPrompts("e1", 20000), pendingPrompts("e3", 20000) };
    scenario.handle(GossipReceived { message });
    scenario.sendRequest("/draft/1");
    CHECK(scenario.lastExchange()->endpoint == EndpointId("e2"));
}

TEST_CASE("A prompt is gossiped as pending until the first event of its stream")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.sendRequest("/draft/1");
    const ExchangeId exchange = scenario.lastExchange()->exchange;
    scenario.advance(Milliseconds(500));
    const auto before = scenario.lastAction<SendGossip>();
    REQUIRE(before);
    REQUIRE_FALSE(before->gossip.usages.empty());
    CHECK(before->gossip.usages.front().promptTokens == 1000);
    scenario.handle(ResponseReceived { exchange, GatewayScenario::streamStart() });
    scenario.handle(EventsRelayed { exchange, 1 });
    scenario.clearActions();
    scenario.advance(Milliseconds(500));
    const auto after = scenario.lastAction<SendGossip>();
    REQUIRE(after);
    REQUIRE_FALSE(after->gossip.usages.empty());
    CHECK(after->gossip.usages.front().promptTokens == 0);
}
