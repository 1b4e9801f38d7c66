#include "core/gateway/GossipComposer.h"
#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

constexpr std::size_t receivers = 44;
constexpr Milliseconds tick(50);

}

// Guards against gateways that send prompts to the same engine because the news of them waits for a tick.
TEST_CASE("The other gateways are told of a prompt at once")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.advance(Milliseconds(600));
    scenario.clearActions();
    scenario.sendStream(400);
    const auto sent = scenario.lastAction<SendGossip>();
    REQUIRE(sent);
    CHECK(sent->gossip.isPartial);
    CHECK(sent->gossip.usages.front().promptTokens == 1000);
}

// Guards against a token bucket that is empty for new prompts because ends and short calls took its bytes.
TEST_CASE("Short calls cause no gossip, and ends leave enough bytes for a new prompt")
{
    const GatewayLimits limits;
    GossipComposer composer(limits, GatewayId("self"), Incarnation(1));
    Instant now { Seconds(10) };
    GossipContent content { { { 1, 5, 9000, 0 } }, {}, false, receivers };
    REQUIRE(composer.compose(content, now));
    now += Milliseconds(1500);
    content.usages = { { 1, 5, 9000, 0 }, { 2, 3, 0, 0 } };
    CHECK_FALSE(composer.compose(content, now));
    int refused = 0;
    for (std::uint32_t end = 1; end <= 40; ++end) {
        now += tick;
        content.usages = { { 1, 5, 9000 - end, 0 } };
        composer.compose(content, now);
        content.usages.push_back({ 3, 1, 4000 + end, 3000 });
        const bool isPromptDue = end % 20 == 0;
        refused += isPromptDue && !composer.compose(content, now) ? 1 : 0;
    }
    CHECK(refused == 0);
}
