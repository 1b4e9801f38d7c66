#include "core/gateway/GossipComposer.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

const Instant start(Seconds(1000));

/** @return a composer that has told everything of an idle gateway. */
GossipComposer quietComposer(const GatewayLimits& limits)
{
    GossipComposer composer(limits, GatewayId("edge-1"), Incarnation(1));
    REQUIRE(composer.compose({}, start));
    REQUIRE(!composer.compose({}, start + Milliseconds(50)));
    return composer;
}

}

// Guards against a crash that the other gateways learn of late, because no prompt and no run changed since the last
// message: the call that broke had ended before it was told.
TEST_CASE("A request that became suspect of a crash is told although no usage changed")
{
    const GatewayLimits limits;
    GossipComposer composer = quietComposer(limits);
    GossipContent content;
    content.receiverCount = 3;
    content.suspects.suspects.push_back({ Fingerprint(7), 1, Seconds(60) });
    const auto first = composer.compose(content, start + Milliseconds(100));
    REQUIRE(first);
    CHECK(first->suspects == content.suspects);
    CHECK(!composer.compose(content, start + Milliseconds(150)));
    content.suspects.suspects.front().deaths = 2;
    CHECK(composer.compose(content, start + Milliseconds(200)));
}

TEST_CASE("An endpoint that refuses connections is told although no usage changed")
{
    const GatewayLimits limits;
    GossipComposer composer = quietComposer(limits);
    GossipContent content;
    content.receiverCount = 3;
    content.refusedConnections.push_back({ 5, Milliseconds(0) });
    CHECK(composer.compose(content, start + Milliseconds(100)));
    CHECK(!composer.compose(content, start + Milliseconds(150)));
}
