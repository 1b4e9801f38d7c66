#include "core/gateway/WaitingRequests.h"
#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>

using namespace teaselfold;

namespace {

constexpr Instant start { Seconds(1000) };
const WaitingGroup group { ServiceId("engines"), {} };

WaitingRequest request(std::uint64_t id, const char* team, std::uint32_t priority = 0)
{
    WaitingRequest waiting;
    waiting.id = RequestId(id);
    waiting.group = group;
    waiting.team = TeamId(team);
    waiting.priority = priority;
    waiting.arrivedAt = start + Milliseconds(id);
    waiting.latestStart = waiting.arrivedAt + Milliseconds(1000);
    waiting.waitsUntil = waiting.arrivedAt + Milliseconds(2000);
    return waiting;
}

/** Starts the request whose turn it is. @return its id; zero if none waits. */
std::uint64_t startNext(WaitingRequests& waiting, Instant now = start)
{
    const auto id = waiting.next(group, now);
    if (!id)
        return 0;
    waiting.start(*id);
    return id->get();
}

}

// Load: a burst of less urgent requests came before an urgent one.
TEST_CASE("Urgent requests go first, and less urgent ones get a turn after several of them")
{
    WaitingRequests waiting;
    for (std::uint64_t id = 1; id <= 3; ++id)
        waiting.add(request(id, "team-a", 1));
    for (std::uint64_t id = 10; id < 30; ++id)
        waiting.add(request(id, "team-a", 0));
    std::vector<std::uint64_t> order;
    for (int turn = 0; turn < 20; ++turn)
        order.push_back(startNext(waiting));
    CHECK(order.front() == 10);
    const auto lessUrgent = std::count_if(order.begin(), order.end(), [](std::uint64_t id) { return id < 10; });
    CHECK(lessUrgent == 2);
}

// Load: one large team sends a hundred requests in the moment in which others send two each.
TEST_CASE("A large team gets what the others leave, and no more")
{
    WaitingRequests waiting;
    for (std::uint64_t id = 1; id <= 100; ++id)
        waiting.add(request(id, "large"));
    for (std::uint64_t id = 201; id <= 202; ++id)
        waiting.add(request(id, "small-a"));
    for (std::uint64_t id = 301; id <= 302; ++id)
        waiting.add(request(id, "small-b"));
    int large = 0;
    for (int turn = 0; turn < 6; ++turn)
        large += startNext(waiting) <= 100 ? 1 : 0;
    CHECK(large == 2);
    // Nothing is held back for teams that ask for nothing.
    for (int turn = 0; turn < 98; ++turn)
        CHECK(startNext(waiting) <= 100);
    CHECK(startNext(waiting) == 0);
}

// Load: one team sends few large generations, another many small ones.
TEST_CASE("Teams share the work, not the number of requests")
{
    WaitingRequests waiting;
    for (std::uint64_t id = 1; id <= 10; ++id) {
        WaitingRequest large = request(id, "large");
        large.cost = 4000;
        waiting.add(large);
    }
    for (std::uint64_t id = 101; id <= 200; ++id) {
        WaitingRequest small = request(id, "small");
        small.cost = 1000;
        waiting.add(small);
    }
    int large = 0;
    for (int turn = 0; turn < 25; ++turn)
        large += startNext(waiting) <= 10 ? 1 : 0;
    CHECK(large == 5);
}

// Load: room is so scarce that some waiting requests cannot be in time any more.
TEST_CASE("Requests that can be in time go before late ones, and those with the least slack first")
{
    WaitingRequests waiting;
    for (std::uint64_t id = 1; id <= 4; ++id) {
        WaitingRequest each = request(id, "team-a");
        // The later ones have less slack.
        each.latestStart = start + Milliseconds(id == 1 ? 100 : 1000 - 100 * static_cast<int>(id));
        waiting.add(each);
    }
    const Instant now = start + Milliseconds(500);
    CHECK(startNext(waiting, now) == 4);
    CHECK(startNext(waiting, now) == 3);
    CHECK(startNext(waiting, now) == 2);
    CHECK(startNext(waiting, now) == 1);
}

TEST_CASE("A caller that came back in its turn goes before new callers of its priority")
{
    WaitingRequests waiting;
    for (std::uint64_t id = 1; id <= 3; ++id) {
        WaitingRequest each = request(id, "team-a", 1);
        each.hasReturned = id == 3;
        waiting.add(each);
    }
    waiting.add(request(9, "team-a", 0));
    CHECK(startNext(waiting) == 9);
    CHECK(startNext(waiting) == 3);
    CHECK(startNext(waiting) == 1);
}

TEST_CASE("Requests are removed from any position and expire in the order of their limits")
{
    WaitingRequests waiting;
    for (std::uint64_t id = 1; id <= 5; ++id)
        waiting.add(request(id, id % 2 == 0 ? "team-a" : "team-b", static_cast<std::uint32_t>(id % 2)));
    waiting.add(request(1, "team-b", 1));
    CHECK(waiting.size() == 5);
    // Makes the requests late.
    CHECK(waiting.next(group, start + Milliseconds(1500)));
    waiting.remove(RequestId(2));
    waiting.remove(RequestId(2));
    CHECK_FALSE(waiting.contains(RequestId(2)));
    CHECK(waiting.expired(start + Milliseconds(2003)) == std::vector { RequestId(1), RequestId(3) });
    for (std::uint64_t id = 1; id <= 5; ++id)
        waiting.remove(RequestId(id));
    CHECK(waiting.groups().empty());
    CHECK_FALSE(waiting.hasBefore(group, 9));
    CHECK(startNext(waiting) == 0);
}

// Load: ten thousand requests wait while no endpoint takes one.
TEST_CASE("The cost of a tick does not grow with the number of requests that wait")
{
    const auto timeOfTicks = [](std::uint64_t count) {
        WaitingRequests waiting;
        for (std::uint64_t id = 1; id <= count; ++id)
            waiting.add(request(id, id % 3 == 0 ? "team-a" : "team-b"));
        Duration shortest = Seconds(10);
        for (int repeat = 0; repeat < 5; ++repeat) {
            const auto begin = std::chrono::steady_clock::now();
            std::size_t found = 0;
            for (int tick = 0; tick < 1000; ++tick) {
                for (const WaitingGroup& each : waiting.groups())
                    found += waiting.next(each, start) ? 1 : 0;
                found += waiting.expired(start).size();
            }
            shortest = std::min<Duration>(shortest, std::chrono::steady_clock::now() - begin);
            CHECK(found == 1000);
        }
        return shortest;
    };
    CHECK(timeOfTicks(10000) < timeOfTicks(100) * 5);
}

// Load: all endpoints are out of reach for a moment, and more requests come than those that wait.
TEST_CASE("A gateway sends an urgent request before the less urgent ones that wait")
{
    GatewayConfiguration configuration = GatewayScenario::configuration(2);
    configuration.routes[0].priority = 0;
    configuration.routes[1].priority = 1;
    GatewayScenario scenario;
    scenario.start().handle(
        ConfigurationRead { std::make_shared<const GatewayConfiguration>(std::move(configuration)) });
    scenario.handle(EndpointsListed { {} });
    const RequestId write = scenario.sendRequest("/write/1");
    const RequestId read = scenario.sendRequest("/read/1");
    scenario.clearActions();
    scenario.handle(EndpointsListed { { GatewayScenario::plainEndpoint("p4") } }).advance(Milliseconds(50));
    std::vector<RequestId> sent;
    for (const GatewayAction& action : scenario.takeActions()) {
        if (const auto* started = std::get_if<StartExchange>(&action))
            sent.push_back(started->parameters.request);
    }
    CHECK(sent == std::vector { read, write });
}

// Load: requests wait when an endpoint comes, and a new one arrives before the next tick.
TEST_CASE("A new request does not overtake those that wait")
{
    GatewayScenario scenario;
    scenario.start().handle(EndpointsListed { {} });
    const RequestId first = scenario.sendRequest("/write/1");
    scenario.handle(EndpointsListed { { GatewayScenario::plainEndpoint("p4") } }).clearActions();
    const RequestId second = scenario.sendRequest("/write/2");
    std::vector<RequestId> sent;
    for (const GatewayAction& action : scenario.takeActions()) {
        if (const auto* started = std::get_if<StartExchange>(&action))
            sent.push_back(started->parameters.request);
    }
    CHECK(sent == std::vector { first, second });
}
