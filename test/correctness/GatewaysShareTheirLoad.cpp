#include "adapters/peers/GossipCodec.h"
#include "core/gateway/GossipComposer.h"
#include "core/gateway/PeerLoadTable.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace teaselfold;

namespace {

/** @return a full gossip message with the load of one endpoint. */
GossipMessage messageFrom(const std::string& instance, std::uint64_t sequence, std::uint32_t runs)
{
    GossipMessage message;
    message.instance = GatewayId(instance);
    message.incarnation = Incarnation(9);
    message.sequence = sequence;
    message.usages.push_back({ 77, runs, runs * 1000, runs * 10 });
    return message;
}

PeerLoadTable emptyTable()
{
    static const GatewayLimits limits;
    return { limits, GatewayId("self") };
}

}

TEST_CASE("The load of all other gateways is summed, and outdated messages are ignored")
{
    PeerLoadTable peers = emptyTable();
    const Instant now { Seconds(10) };
    peers.receive(messageFrom("a", 2, 3), now);
    peers.receive(messageFrom("b", 1, 4), now);
    peers.receive(messageFrom("a", 1, 9), now);
    peers.receive(messageFrom("self", 5, 50), now);
    CHECK(peers.peerLoad(77).runs == 7);
    CHECK(peers.peerLoad(78).runs == 0);
}

TEST_CASE("Messages of a restarted gateway count although its sequence numbers start over")
{
    PeerLoadTable peers = emptyTable();
    const Instant now { Seconds(10) };
    peers.receive(messageFrom("a", 200, 3), now);
    GossipMessage restarted = messageFrom("a", 1, 1);
    restarted.incarnation = Incarnation(10);
    peers.receive(restarted, now);
    CHECK(peers.peerLoad(77).runs == 1);
}

TEST_CASE("A silent gateway's load expires, but shared limits are still divided among all listed gateways")
{
    PeerLoadTable peers = emptyTable();
    peers.setMembers({ { GatewayId("self"), {} }, { GatewayId("a"), {} } });
    peers.receive(messageFrom("a", 1, 3), Instant { Seconds(10) });
    CHECK(peers.isComplete());
    peers.expire(Instant { Seconds(20) });
    CHECK(peers.peerLoad(77).runs == 0);
    CHECK_FALSE(peers.isComplete());
    CHECK(peers.gatewayCount() == 2);
}

TEST_CASE("A partial message changes only the listed endpoints")
{
    PeerLoadTable peers = emptyTable();
    const Instant now { Seconds(10) };
    GossipMessage full = messageFrom("a", 1, 3);
    full.usages.push_back({ 78, 5, 5000, 0 });
    peers.receive(full, now);
    GossipMessage partial = messageFrom("a", 2, 4);
    partial.isPartial = true;
    partial.instance = GatewayId();
    CHECK(peers.receive(partial, now) == GatewayId("a"));
    partial.incarnation = Incarnation(12);
    CHECK_FALSE(peers.receive(partial, now));
    CHECK(peers.peerLoad(77).runs == 4);
    CHECK(peers.peerLoad(78).runs == 5);
    peers.receive(messageFrom("a", 3, 1), now);
    CHECK(peers.peerLoad(77).runs == 1);
    CHECK(peers.peerLoad(78).runs == 0);
}

TEST_CASE("Changed and ended usages are sent at once, and full messages periodically")
{
    const GatewayLimits limits;
    GossipComposer composer(limits, GatewayId("self"), Incarnation(1));
    Instant now { Seconds(10) };
    GossipContent content { { { 77, 1, 100, 0 }, { 78, 1, 100, 0 } }, {}, false, 1 };
    const auto first = composer.compose(content, now);
    REQUIRE(first);
    CHECK_FALSE(first->isPartial);
    now += Milliseconds(50);
    CHECK_FALSE(composer.compose(content, now));
    content.usages = { { 77, 2, 200, 0 } };
    const auto changed = composer.compose(content, now);
    REQUIRE(changed);
    CHECK(changed->isPartial);
    CHECK(changed->usages.size() == 2);
    now += limits.minFullGossipInterval;
    const auto full = composer.compose(content, now);
    REQUIRE(full);
    CHECK_FALSE(full->isPartial);
    CHECK(full->usages == content.usages);
}

TEST_CASE("Gossip stays below the byte rate limit of an instance with any number of gateways")
{
    const GatewayLimits limits;
    for (const std::size_t receiverCount : { std::size_t { 2 }, std::size_t { 25 }, std::size_t { 400 } }) {
        GossipComposer composer(limits, GatewayId("self"), Incarnation(1));
        Instant now { Seconds(10) };
        std::size_t bytes = 0;
        constexpr int rounds = 1200;
        constexpr Milliseconds period(50);
        for (int round = 0; round < rounds; ++round) {
            const auto runs = static_cast<std::uint32_t>(round);
            const GossipContent content { { { 77, runs, runs, 0 }, { 78, runs, runs, 0 } }, {}, false, receiverCount };
            if (const auto message = composer.compose(content, now))
                bytes += (encodeGossip(*message).size() + 28) * receiverCount;
            now += period;
        }
        CAPTURE(receiverCount);
        constexpr std::size_t limitPerSecond = 21000;
        CHECK(bytes < limitPerSecond * 60);
    }
}

TEST_CASE("Decoding an encoded gossip message yields the same message")
{
    GossipMessage message = messageFrom("a", 3, 4);
    message.isDraining = true;
    message.suspects.suspects.push_back({ Fingerprint(5), 2, Milliseconds(900) });
    message.promptParts.brokenStarts.push_back({ 6, 77, Milliseconds(20), { PromptPartId(8), PromptPartId(9) } });
    message.promptParts.survivals.push_back({ PromptPartId(8), Milliseconds(400) });
    message.refusedConnections.push_back({ 77, Milliseconds(150) });
    CHECK(decodeGossip(encodeGossip(message)) == message);
    message.isPartial = true;
    CHECK_FALSE(decodeGossip(encodeGossip(message)) == message);
    message.instance = GatewayId();
    CHECK(decodeGossip(encodeGossip(message)) == message);
}

// Guards against a datagram that keeps a small machine busy.
TEST_CASE("Lists of a received gossip message that are longer than any gateway sends are cut off")
{
    GossipMessage message = messageFrom("a", 3, 4);
    constexpr std::size_t count = 2000;
    for (std::uint64_t index = 0; index < count; ++index) {
        message.promptParts.brokenStarts.push_back(
            { index, 77, Milliseconds(20), std::vector<PromptPartId>(count / 50, PromptPartId(index)) });
        message.promptParts.survivals.push_back({ PromptPartId(index), Milliseconds(400) });
        message.refusedConnections.push_back({ 77, Milliseconds(20) });
    }
    message.promptParts.brokenStarts.front().parts.resize(count);
    const auto decoded = decodeGossip(encodeGossip(message));
    REQUIRE(decoded);
    constexpr std::size_t limit = 100;
    CHECK(decoded->promptParts.brokenStarts.size() <= limit);
    CHECK(decoded->promptParts.survivals.size() <= limit);
    CHECK(decoded->refusedConnections.size() <= limit);
    CHECK(decoded->promptParts.brokenStarts.front().parts.size() <= limit);
}

TEST_CASE("Damaged datagrams do not crash the decoder, and random bytes are rejected")
{
    CHECK(rc::check([] {
        const auto noise = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
        std::string damaged = encodeGossip(messageFrom("a", 3, 4));
        const auto position = *rc::gen::inRange<std::size_t>(0, damaged.size());
        damaged[position] = *rc::gen::arbitrary<char>();
        damaged.resize(*rc::gen::inRange<std::size_t>(0, damaged.size() + 1));
        // Neither may crash. Random bytes do not contain the file identifier of an encoded message.
        decodeGossip(damaged);
        RC_ASSERT(!decodeGossip(noise));
    }));
}
