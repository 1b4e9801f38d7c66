#include "adapters/peers/NewsCodec.h"
#include "core/gateway/GossipComposer.h"
#include "core/gateway/PeerLoadTable.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace teaselfold;

namespace {

PeerNews newsOf(const std::string& instance, std::uint64_t sequence, std::uint32_t runs)
{
    PeerNews news;
    news.instance = GatewayId(instance);
    news.incarnation = Incarnation(9);
    news.sequence = sequence;
    news.shares.push_back({ 77, runs, runs * 1000, runs * 10 });
    return news;
}

PeerLoadTable board()
{
    static const GatewayLimits limits;
    return { limits, GatewayId("self") };
}

}

TEST_CASE("The work of all others adds up, and an older word changes nothing")
{
    PeerLoadTable peers = board();
    const Instant now { Seconds(10) };
    peers.receive(newsOf("a", 2, 3), now);
    peers.receive(newsOf("b", 1, 4), now);
    peers.receive(newsOf("a", 1, 9), now);
    peers.receive(newsOf("self", 5, 50), now);
    CHECK(peers.peerLoad(77).runs == 7);
    CHECK(peers.peerLoad(78).runs == 0);
}

TEST_CASE("A restarted gateway is heard although its numbers begin anew")
{
    PeerLoadTable peers = board();
    const Instant now { Seconds(10) };
    peers.receive(newsOf("a", 200, 3), now);
    PeerNews restarted = newsOf("a", 1, 1);
    restarted.incarnation = Incarnation(10);
    peers.receive(restarted, now);
    CHECK(peers.peerLoad(77).runs == 1);
}

TEST_CASE("A silent gateway's work is forgotten, but its share of the allowances stays while it is listed")
{
    PeerLoadTable peers = board();
    peers.setMembers({ { GatewayId("self"), {} }, { GatewayId("a"), {} } });
    peers.receive(newsOf("a", 1, 3), Instant { Seconds(10) });
    CHECK(peers.isComplete());
    peers.expire(Instant { Seconds(20) });
    CHECK(peers.peerLoad(77).runs == 0);
    CHECK_FALSE(peers.isComplete());
    CHECK(peers.instanceCount() == 2);
}

TEST_CASE("Partial news change what they name and leave the rest")
{
    PeerLoadTable peers = board();
    const Instant now { Seconds(10) };
    PeerNews all = newsOf("a", 1, 3);
    all.shares.push_back({ 78, 5, 5000, 0 });
    peers.receive(all, now);
    PeerNews partial = newsOf("a", 2, 4);
    partial.isPartial = true;
    partial.instance = GatewayId();
    CHECK(peers.receive(partial, now) == GatewayId("a"));
    partial.incarnation = Incarnation(12);
    CHECK_FALSE(peers.receive(partial, now));
    CHECK(peers.peerLoad(77).runs == 4);
    CHECK(peers.peerLoad(78).runs == 5);
    peers.receive(newsOf("a", 3, 1), now);
    CHECK(peers.peerLoad(77).runs == 1);
    CHECK(peers.peerLoad(78).runs == 0);
}

TEST_CASE("Changes are told at once, ends too, and all of it from time to time")
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
    content.shares = { { 77, 2, 200, 0 } };
    const auto changed = composer.compose(content, now);
    REQUIRE(changed);
    CHECK(changed->isPartial);
    CHECK(changed->shares.size() == 2);
    now += limits.shortestFullNewsPeriod;
    const auto all = composer.compose(content, now);
    REQUIRE(all);
    CHECK_FALSE(all->isPartial);
    CHECK(all->shares == content.shares);
}

TEST_CASE("News keep within the bytes of a node, however many gateways there are")
{
    const GatewayLimits limits;
    for (const std::size_t receivers : { std::size_t { 2 }, std::size_t { 25 }, std::size_t { 400 } }) {
        GossipComposer composer(limits, GatewayId("self"), Incarnation(1));
        Instant now { Seconds(10) };
        std::size_t bytes = 0;
        constexpr int rounds = 1200;
        constexpr Milliseconds period(50);
        for (int round = 0; round < rounds; ++round) {
            const auto runs = static_cast<std::uint32_t>(round);
            const GossipContent content { { { 77, runs, runs, 0 }, { 78, runs, runs, 0 } }, {}, false, receivers };
            if (const auto news = composer.compose(content, now))
                bytes += (encodeNews(*news).size() + 28) * receivers;
            now += period;
        }
        CAPTURE(receivers);
        constexpr std::size_t targetPerSecond = 21000;
        CHECK(bytes < targetPerSecond * 60);
    }
}

TEST_CASE("News come out of a datagram as they went in")
{
    PeerNews news = newsOf("a", 3, 4);
    news.isLeaving = true;
    news.suspects.suspects.push_back({ Fingerprint(5), 2, Milliseconds(900) });
    CHECK(decodeNews(encodeNews(news)) == news);
    news.isPartial = true;
    CHECK_FALSE(decodeNews(encodeNews(news)) == news);
    news.instance = GatewayId();
    CHECK(decodeNews(encodeNews(news)) == news);
}

TEST_CASE("Garbage in a datagram is no news")
{
    CHECK(rc::check([] {
        const auto noise = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
        std::string damaged = encodeNews(newsOf("a", 3, 4));
        const auto place = *rc::gen::inRange<std::size_t>(0, damaged.size());
        damaged[place] = *rc::gen::arbitrary<char>();
        damaged.resize(*rc::gen::inRange<std::size_t>(0, damaged.size() + 1));
        // Neither may crash; noise never carries the identifier of news by chance.
        decodeNews(damaged);
        RC_ASSERT(!decodeNews(noise));
    }));
}
