#include "adapters/peers/NewsCodec.h"
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
    news.shares.push_back({ 77, runs, runs * std::uint64_t { 1000 } });
    return news;
}

PeerBoard board()
{
    static const GatewayLimits limits;
    return { limits, GatewayId("self"), Incarnation(1) };
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

TEST_CASE("News come out of a datagram as they went in")
{
    PeerNews news = newsOf("a", 3, 4);
    news.isLeaving = true;
    news.suspects.suspects.push_back({ Fingerprint(5), 2, Milliseconds(900) });
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
