#include "adapters/peers/GossipCodec.h"
#include "platform/PlatformTrafficCodec.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("A rate limit is read from any answer of the platform's endpoints; other texts state nothing")
{
    const PlatformTrafficCodec codec;
    const auto read = [&](const std::string& text, std::uint16_t status = 200) {
        return codec.readResponse({ status, "", { { "server-limit", text } } }).rateLimit;
    };
    CHECK(read("4.5")->requestsPerSecond == 4.5);
    CHECK(read("0")->requestsPerSecond == 0.0);
    CHECK(read("12", 503)->requestsPerSecond == 12.0);
    CHECK(read("12", 500)->requestsPerSecond == 12.0);
    for (const std::string other :
        { "-1", "-0.5", "nan", "inf", "1e3", "soon", "2 a second", "1.2.3", ".", "0x2", "4,5", "+3" }) {
        CAPTURE(other);
        CHECK_FALSE(read(other));
    }
    const auto none = codec.readResponse({ 200, "", {} }).rateLimit;
    REQUIRE(none);
    CHECK_FALSE(none->requestsPerSecond);
    // No endpoint comes near such a rate.
    for (const std::string& huge : { std::string("2000000"), std::string(400, '9') })
        CHECK_FALSE(read(huge)->requestsPerSecond);
}

TEST_CASE("An answer to a copy call may state a rate limit, and says nothing without one")
{
    const PlatformTrafficCodec codec;
    const auto read = [&](std::vector<HeaderField> fields) {
        return codec.readMigrationResponse(ExchangeId(1), { 503, "", std::move(fields) }, "{}").rateLimit;
    };
    CHECK(read({ { "Server-Limit", "3" } })->requestsPerSecond == 3.0);
    CHECK_FALSE(read({}));
    CHECK_FALSE(read({ { "Server-Limit", "soon" } }));
}

TEST_CASE("Gossip carries rate limits, also one of zero and the end of one")
{
    GossipMessage message;
    message.instance = GatewayId("gateway-1");
    message.incarnation = Incarnation(7);
    message.sequence = 3;
    message.rateLimits = { { 11, 4.5, Milliseconds(120), 8.25 }, { 12, 0.0, Milliseconds(0), 0.5 },
        { 13, std::nullopt, Milliseconds(4000), 0 } };
    CHECK(decodeGossip(encodeGossip(message)) == message);
}
