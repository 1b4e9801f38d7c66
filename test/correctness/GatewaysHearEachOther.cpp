#include "adapters/peers/GossipCodec.h"
#include "core/gateway/NewsComposer.h"
#include "core/gateway/PeerBoard.h"

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

PeerBoard board()
{
    static const GatewayLimits limits;
    return { limits, GatewayId("self") };
}

}

TEST_CASE("The work of all others adds up, and an older word changes nothing")
{
    PeerBoard peers = board();
    const Instant now { Seconds(10) };
    peers.hear(newsOf("a", 2, 3), now);
    peers.hear(newsOf("b", 1, 4), now);
    peers.hear(newsOf("a", 1, 9), now);
    peers.hear(newsOf("self", 5, 50), now);
    CHECK(peers.workElsewhere(77).runs == 7);
    CHECK(peers.workElsewhere(78).runs == 0);
}

TEST_CASE("A restarted gateway is heard although its numbers begin anew")
{
    PeerBoard peers = board();
    const Instant now { Seconds(10) };
    peers.hear(newsOf("a", 200, 3), now);
    PeerNews restarted = newsOf("a", 1, 1);
    restarted.incarnation = Incarnation(10);
    peers.hear(restarted, now);
    CHECK(peers.workElsewhere(77).runs == 1);
}

TEST_CASE("A silent gateway's work is forgotten, but its share of the allowances stays while it is listed")
{
    PeerBoard peers = board();
    peers.setMembers({ { GatewayId("self"), {} }, { GatewayId("a"), {} } });
    peers.hear(newsOf("a", 1, 3), Instant { Seconds(10) });
    CHECK(peers.isComplete());
    peers.expire(Instant { Seconds(20) });
    CHECK(peers.workElsewhere(77).runs == 0);
    CHECK_FALSE(peers.isComplete());
    CHECK(peers.instances() == 2);
}

TEST_CASE("Partial news change what they name and leave the rest")
{
    PeerBoard peers = board();
    const Instant now { Seconds(10) };
    PeerNews all = newsOf("a", 1, 3);
    all.shares.push_back({ 78, 5, 5000, 0 });
    peers.hear(all, now);
    PeerNews partial = newsOf("a", 2, 4);
    partial.isPartial = true;
    partial.instance = GatewayId();
    CHECK(peers.hear(partial, now) == GatewayId("a"));
    partial.incarnation = Incarnation(12);
    CHECK_FALSE(peers.hear(partial, now));
    CHECK(peers.workElsewhere(77).runs == 4);
    CHECK(peers.workElsewhere(78).runs == 5);
    peers.hear(newsOf("a", 3, 1), now);
    CHECK(peers.workElsewhere(77).runs == 1);
    CHECK(peers.workElsewhere(78).runs == 0);
}

TEST_CASE("Changes are told at once, ends too, and all of it from time to time")
{
    const GatewayLimits limits;
    NewsComposer composer(limits, GatewayId("self"), Incarnation(1));
    Instant now { Seconds(10) };
    NewsContent content { { { 77, 1, 100, 0 }, { 78, 1, 100, 0 } }, {}, false, 1 };
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
        NewsComposer composer(limits, GatewayId("self"), Incarnation(1));
        Instant now { Seconds(10) };
        std::size_t bytes = 0;
        constexpr int rounds = 1200;
        constexpr Milliseconds period(50);
        for (int round = 0; round < rounds; ++round) {
            const auto runs = static_cast<std::uint32_t>(round);
            const NewsContent content { { { 77, runs, runs, 0 }, { 78, runs, runs, 0 } }, {}, false, receivers };
            if (const auto news = composer.compose(content, now))
                bytes += (encodeGossip(*news).size() + 28) * receivers;
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
    CHECK(decodeGossip(encodeGossip(news)) == news);
    news.isPartial = true;
    CHECK_FALSE(decodeGossip(encodeGossip(news)) == news);
    news.instance = GatewayId();
    CHECK(decodeGossip(encodeGossip(news)) == news);
}

TEST_CASE("Garbage in a datagram is no news")
{
    CHECK(rc::check([] {
        const auto noise = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
        std::string damaged = encodeGossip(newsOf("a", 3, 4));
        const auto place = *rc::gen::inRange<std::size_t>(0, damaged.size());
        damaged[place] = *rc::gen::arbitrary<char>();
        damaged.resize(*rc::gen::inRange<std::size_t>(0, damaged.size() + 1));
        // Neither may crash; noise never carries the identifier of news by chance.
        decodeGossip(damaged);
        RC_ASSERT(!decodeGossip(noise));
    }));
}
