#include "core/gateway/ReturnTurns.h"
#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

constexpr Instant start { Seconds(1000) };
const ServiceId service("plain");

ReturnBounds bounds(Milliseconds interval) { return { Milliseconds(300), Milliseconds(2000), interval }; }

}

// Load: a crowd is turned away in one moment, and its service takes a request each 100 ms.
TEST_CASE("Callers that are turned away come back one after the other, in their order")
{
    ReturnTurns turns;
    Milliseconds last(0);
    for (std::uint64_t caller = 1; caller <= 10; ++caller) {
        const Milliseconds turn = turns.turnAway(service, Fingerprint(caller), bounds(Milliseconds(100)), start);
        CHECK(turn >= Milliseconds(300));
        CHECK(turn <= Milliseconds(2000));
        CHECK(turn - last >= Milliseconds(100));
        last = turn;
    }
    // Callers do not follow longer times, so all others come back at the longest one.
    for (std::uint64_t caller = 11; caller <= 100; ++caller)
        last = turns.turnAway(service, Fingerprint(caller), bounds(Milliseconds(100)), start);
    CHECK(last == Milliseconds(2000));
}

// Load: some callers do not wait as told and repeat at once, again and again.
TEST_CASE("Callers that come back early keep their turn, and the turns of others do not move")
{
    ReturnTurns turns;
    const Milliseconds first = turns.turnAway(service, Fingerprint(1), bounds(Milliseconds(100)), start);
    for (int repeat = 1; repeat <= 10; ++repeat) {
        const Instant now = start + Milliseconds(repeat);
        CHECK_FALSE(turns.takeTurn(service, Fingerprint(1), now));
        const ReturnBounds early { Milliseconds(0), Milliseconds(2000), Milliseconds(100) };
        CHECK(turns.turnAway(service, Fingerprint(1), early, now) == first - Milliseconds(repeat));
    }
    const Milliseconds second = turns.turnAway(service, Fingerprint(2), bounds(Milliseconds(100)), start);
    CHECK(second - first == Milliseconds(100));
    CHECK(turns.takeTurn(service, Fingerprint(1), start + first));
    CHECK_FALSE(turns.takeTurn(service, Fingerprint(1), start + first));
}

TEST_CASE("The interval of turns is that of the requests that the service took lately")
{
    ReturnTurns turns;
    CHECK_FALSE(turns.measuredInterval(service, start));
    for (int request = 0; request < 30; ++request)
        turns.recordStart(service, start + Milliseconds(20 * request));
    const auto interval = turns.measuredInterval(service, start + Milliseconds(600));
    REQUIRE(interval);
    CHECK(*interval >= Milliseconds(15));
    CHECK(*interval <= Milliseconds(25));
    CHECK_FALSE(turns.measuredInterval(service, start + Seconds(10)));
}

// Load: many callers are turned away and never come back.
TEST_CASE("The memory of turns is bounded")
{
    ReturnTurns turns;
    for (std::uint64_t caller = 1; caller <= 100000; ++caller)
        turns.turnAway(service, Fingerprint(caller), bounds(Milliseconds(1)), start + Milliseconds(caller));
    CHECK(turns.size() <= 1024);
    turns.expire(start + Seconds(200));
    CHECK(turns.size() == 0);
}

// Load: a service that took fifty requests a second loses all endpoints but one, which rests for half a second.
TEST_CASE("A gateway spreads the return of refused callers over the time in which room comes free")
{
    GatewayScenario scenario;
    scenario.start();
    for (int request = 0; request < 20; ++request) {
        scenario.advance(Milliseconds(20));
        scenario.sendRequest("/write/1");
        scenario.respond(GatewayScenario::success());
        scenario.endExchange(ExchangeEnd::Complete);
    }
    scenario.handle(EndpointsListed { { GatewayScenario::plainEndpoint("p4") } });
    scenario.sendRequest("/write/1");
    ResponseSummary full = GatewayScenario::notRunRefusal();
    full.restTime = Milliseconds(500);
    scenario.respond(full);
    Milliseconds last(0);
    for (int caller = 0; caller < 20; ++caller) {
        scenario.clearActions();
        scenario.sendRequest("/write/1");
        const auto refused = scenario.lastAction<RefuseRequest>();
        REQUIRE(refused);
        CHECK(refused->failure.run == Executed::No);
        CHECK(refused->failure.retryAfter >= Milliseconds(500));
        CHECK(refused->failure.retryAfter > last);
        last = refused->failure.retryAfter;
    }
    // A third of the callers' 5 s is the longest that they follow.
    CHECK(last <= Milliseconds(1667));
}
