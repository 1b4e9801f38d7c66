#include "core/gateway/EndpointPace.h"
#include "core/gateway/ExternalLoadEstimate.h"
#include "core/gateway/PeerLoadTable.h"
#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace teaselfold;

namespace {

constexpr Milliseconds maxAge(1500);
const Instant start { Seconds(100) };
constexpr std::uint32_t engine = 77;

GossipMessage promptFrom(const char* gateway, std::uint64_t sequence, std::uint32_t tokens)
{
    GossipMessage message;
    message.instance = GatewayId(gateway);
    message.sequence = sequence;
    message.usages = { { engine, 1, tokens, tokens } };
    return message;
}

PeerLoadTable emptyTable()
{
    static const GatewayLimits limits;
    return { limits, GatewayId("self") };
}

}

// Guards against reports that count in full until they suddenly do not count at all.
TEST_CASE("A load report counts less the older it is, and the endpoint's mean remains")
{
    ExternalLoadEstimate estimate;
    CHECK(estimate.requests(maxAge, start) == 0);
    for (int report = 0; report < 50; ++report)
        estimate.record(2, start);
    estimate.record(10, start);
    double last = estimate.requests(maxAge, start);
    CHECK(last == doctest::Approx(10));
    for (Milliseconds age(100); age <= Milliseconds(3000); age += Milliseconds(100)) {
        const double next = estimate.requests(maxAge, start + age);
        CHECK(next < last);
        CHECK(last - next < 2);
        last = next;
    }
    CHECK(last > 1);
    CHECK(last < 3.6);
}

TEST_CASE("A slowdown is aged towards the mean of its endpoint, and an older statement changes nothing")
{
    EndpointPace pace;
    CHECK(pace.slowdown(start) == 1);
    CHECK(pace.recordSlowdown(2.5, start));
    CHECK(pace.slowdown(start) == doctest::Approx(2.5));
    CHECK(pace.slowdown(start + Milliseconds(500)) < 1.8);
    CHECK(pace.slowdown(start + Seconds(10)) == doctest::Approx(1.15));
    CHECK_FALSE(pace.recordSlowdown(4, start - Milliseconds(1)));
    CHECK_FALSE(pace.merge({ engine, {}, 4, Milliseconds(200) }, start + Milliseconds(100)));
    CHECK(pace.merge({ engine, {}, 1, Milliseconds(10) }, start + Milliseconds(300)));
    CHECK(pace.slowdown(start + Milliseconds(300)) < 1.3);
}

TEST_CASE("An engine's usual interval is told from pauses, and this gateway's own measurement goes first")
{
    EndpointPace pace;
    pace.merge({ engine, Milliseconds(50), 0, {} }, start);
    CHECK(pace.usualInterval() == Duration(Milliseconds(50)));
    for (int event = 0; event < 12; ++event)
        pace.recordInterval(event % 2 == 0 ? Milliseconds(30) : Milliseconds(160));
    CHECK(pace.usualInterval() == Duration(Milliseconds(30)));
    REQUIRE(pace.condition(engine, start));
    CHECK(pace.condition(engine, start)->eventInterval == Milliseconds(30));
    CHECK(pace.condition(engine, start)->slowdown == 0);
}

// Guards against prompts that count as waiting until the news that they were read arrives.
TEST_CASE("Prompts of other gateways are read one after another until their gateways say more")
{
    PeerLoadTable peers = emptyTable();
    peers.receive(promptFrom("a", 1, 2800), start);
    peers.receive(promptFrom("b", 1, 2800), start);
    CHECK(peers.unreadPromptTokens(engine, start) == doctest::Approx(5600));
    CHECK(peers.unreadPromptTokens(engine, start + Milliseconds(400)) == doctest::Approx(2800));
    const Instant later = start + Milliseconds(600);
    // The first prompt has been read, and the second one is half read.
    peers.receive(promptFrom("a", 2, 0), later);
    CHECK(peers.unreadPromptTokens(engine, later) == doctest::Approx(1400));
    CHECK(peers.unreadPromptTokens(engine, start + Seconds(2)) == doctest::Approx(0));
    // What is still pending after that time is read more slowly than expected.
    peers.receive(promptFrom("b", 2, 2800), start + Seconds(2));
    CHECK(peers.unreadPromptTokens(engine, start + Seconds(2)) == doctest::Approx(1400));
    CHECK(peers.peerLoad(engine).promptTokens == 2800);
    GossipMessage idle = promptFrom("b", 3, 0);
    idle.usages.clear();
    peers.receive(idle, start + Seconds(2));
    CHECK(peers.unreadPromptTokens(engine, start + Seconds(2)) == 0);
}

TEST_CASE("What an endpoint states of its instance is told to the other gateways with its usage")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.sendStream(400);
    const auto exchange = *scenario.lastExchange();
    ResponseSummary response = GatewayScenario::streamStart();
    response.load = ReportedLoad { 1, 0, 4, 2.5 };
    scenario.handle(ResponseReceived { exchange.exchange, response });
    scenario.handle(EventsRelayed { exchange.exchange, 1 });
    scenario.clearActions();
    scenario.advance(Milliseconds(600));
    const auto sent = scenario.lastAction<SendGossip>();
    REQUIRE(sent);
    REQUIRE(sent->gossip.conditions.size() == 1);
    CHECK(sent->gossip.conditions.front().slowdown == 2.5);
    CHECK(sent->gossip.conditions.front().endpoint == sent->gossip.usages.front().endpoint);
}

TEST_CASE("A gateway logs how even the load is that it knows of")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.sendStream(400);
    scenario.clearActions();
    scenario.advance(Milliseconds(100));
    const auto line = scenario.lastAction<LogEvent>();
    REQUIRE(line);
    const LogField busiest { "busiest_to_mean_percent", "300" };
    CHECK(line->name == "load_spread");
    CHECK(std::find(line->fields.begin(), line->fields.end(), busiest) != line->fields.end());
}
