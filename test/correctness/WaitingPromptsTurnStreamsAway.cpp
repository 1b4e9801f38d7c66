#include "core/entry/Rendezvous.h"
#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

EndpointShare waitingPrompts(const char* engine, std::uint32_t tokens)
{
    return { static_cast<std::uint32_t>(hashOf(engine)), 0, 0, tokens };
}

}

TEST_CASE("A stream goes where no prompts of other gateways wait to be read")
{
    GatewayScenario scenario;
    scenario.start();
    PeerNews news;
    news.instance = GatewayId("gateway-2");
    news.sequence = 1;
    news.shares = { waitingPrompts("e1", 20000), waitingPrompts("e3", 20000) };
    scenario.handle(PeerHeard { news });
    scenario.arrive("/draft/1");
    CHECK(scenario.lastOrder()->endpoint == EndpointId("e2"));
}

TEST_CASE("A prompt waits until its stream's first event")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.arrive("/draft/1");
    const ExchangeId exchange = scenario.lastOrder()->exchange;
    scenario.advance(Milliseconds(500));
    const auto waiting = scenario.lastAction<TellPeers>();
    REQUIRE(waiting);
    REQUIRE_FALSE(waiting->news.shares.empty());
    CHECK(waiting->news.shares.front().promptTokens == 1000);
    scenario.handle(ExchangeAnswered { exchange, GatewayScenario::streamStart() });
    scenario.handle(EventsRelayed { exchange, 1 });
    scenario.clearActions();
    scenario.advance(Milliseconds(500));
    const auto running = scenario.lastAction<TellPeers>();
    REQUIRE(running);
    REQUIRE_FALSE(running->news.shares.empty());
    CHECK(running->news.shares.front().promptTokens == 0);
}
