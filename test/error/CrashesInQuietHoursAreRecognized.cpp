#include "core/entry/Rendezvous.h"
#include "support/EngineFleet.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace teaselfold;

namespace {

/** Time between two requests. Endpoints that crashed are back by then, and nobody else calls them. */
constexpr Milliseconds requestInterval(6500);
constexpr Milliseconds reactionTime(3000);
constexpr int rounds = 12;

std::size_t countLater(const std::vector<Milliseconds>& arrivals, Milliseconds due)
{
    return static_cast<std::size_t>(
        std::count_if(arrivals.begin(), arrivals.end(), [&](Milliseconds arrival) { return arrival > due; }));
}

/** @return the number of arrivals later than the reaction time after the given crash; zero if it did not come. */
std::size_t lateArrivals(
    const std::vector<Milliseconds>& arrivals, const std::vector<Milliseconds>& crashes, std::size_t crash)
{
    return crashes.size() < crash ? 0 : countLater(arrivals, crashes[crash - 1] + reactionTime);
}

}

// Guards against a request that crashes endpoints for ever, because a crash is noticed only if another request happens
// to find its endpoint down.
TEST_CASE("A request that crashes endpoints is refused although nobody else calls")
{
    constexpr std::size_t toleratedArrivals = 3;
    for (const char* path : { "/read/1", "/write/1", "/draft/1" }) {
        for (const std::size_t gateways : { 1, 2, 5 }) {
            for (const std::uint64_t seed : { 1, 2, 3, 4 }) {
                CAPTURE(path);
                CAPTURE(gateways);
                CAPTURE(seed);
                EngineFleet fleet({ gateways, 4, seed, 0, path });
                const Fingerprint deadly(hashOf("deadly"));
                for (int round = 0; round < rounds; ++round) {
                    fleet.sendDeadly(deadly, {});
                    fleet.advance(requestInterval);
                }
                CHECK(fleet.crashesOf(deadly).size() >= 2);
                CHECK(lateArrivals(fleet.arrivalsOf(deadly), fleet.crashesOf(deadly), 3) <= toleratedArrivals);
            }
        }
    }
}

// The same for streams that end with their connections, whose crashes look like their ends.
TEST_CASE("A request that cuts unframed streams by crashes is refused although nobody else calls")
{
    constexpr std::size_t toleratedArrivals = 3;
    for (const std::size_t gateways : { 1, 2, 5 }) {
        for (const std::uint64_t seed : { 1, 2, 3, 4 }) {
            CAPTURE(gateways);
            CAPTURE(seed);
            EngineFleet fleet({ gateways, 4, seed, 0, "/draft/1", true });
            const Fingerprint deadly(hashOf("deadly"));
            for (int round = 0; round < rounds; ++round) {
                fleet.sendDeadly(deadly, {});
                fleet.advance(requestInterval);
            }
            CHECK(lateArrivals(fleet.arrivalsOf(deadly), fleet.crashesOf(deadly), 3) <= toleratedArrivals);
        }
    }
}

// The same for prompts that differ in all but the part that crashes engines.
TEST_CASE("A prompt part that crashes engines is refused although nobody else calls")
{
    constexpr std::size_t toleratedArrivals = 3;
    for (const bool isUnframed : { false, true }) {
        for (const std::size_t gateways : { 1, 2, 5 }) {
            for (const std::uint64_t seed : { 1, 2, 3, 4 }) {
                CAPTURE(isUnframed);
                CAPTURE(gateways);
                CAPTURE(seed);
                EngineFleet fleet({ gateways, 14, seed, 0, "/draft/1", isUnframed });
                const PromptPartId deadlyPart(1);
                fleet.setDeadlyPart(deadlyPart);
                for (int round = 0; round < rounds; ++round) {
                    fleet.send({ PromptPartId(100 + static_cast<std::uint64_t>(round)), deadlyPart });
                    fleet.advance(requestInterval);
                }
                CHECK(fleet.crashes().size() >= 3);
                CHECK(lateArrivals(fleet.deadlyArrivals(), fleet.crashes(), 5) <= toleratedArrivals);
            }
        }
    }
}

// Guards against a sound request that is quarantined because endpoints that cut its answers crash later for another
// reason, and requests that happen to come find them down.
TEST_CASE("A request whose answers are cut is not blamed for later crashes")
{
    constexpr Milliseconds untilCrash(1500);
    for (const char* path : { "/read/1", "/write/1", "/draft/1" }) {
        for (const std::size_t gateways : { 1, 2, 5 }) {
            CAPTURE(path);
            CAPTURE(gateways);
            EngineFleet fleet({ gateways, 4, 1, 0, path });
            fleet.makeGrey(4);
            for (int round = 0; round < 4; ++round) {
                fleet.sendAgain(Fingerprint(hashOf("sound")), {});
                fleet.advance(untilCrash);
                fleet.crashEngines(1);
                for (int request = 0; request < 20; ++request)
                    fleet.send({});
                fleet.advance(requestInterval - untilCrash);
            }
            CHECK(fleet.outcome().quarantined == 0);
        }
    }
}

// Guards against harmless prompt parts that are quarantined because answers were cut and no sound run cleared them.
TEST_CASE("Prompt parts are not blamed for answers that are cut in a quiet hour")
{
    for (const std::size_t gateways : { 1, 2, 5 }) {
        for (const std::uint64_t seed : { 1, 2, 3, 4 }) {
            CAPTURE(gateways);
            CAPTURE(seed);
            EngineFleet fleet({ gateways, 14, seed, 0 });
            fleet.makeGrey(14);
            for (int round = 0; round < rounds; ++round) {
                fleet.send({ PromptPartId(100), PromptPartId(1000) });
                fleet.advance(requestInterval);
            }
            CHECK(fleet.outcome().quarantined == 0);
        }
    }
}
