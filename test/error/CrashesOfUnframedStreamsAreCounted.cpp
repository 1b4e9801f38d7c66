#include "support/EngineFleet.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace teaselfold;

namespace {

const PromptPartId deadlyPart(1);
const PromptPartId sharedPart(100);

/** Sends requests to a fleet, some of them with the deadly part. */
void play(EngineFleet& fleet, double requestsPerSecond, double deadlyShare, Milliseconds time, std::uint64_t seed)
{
    constexpr Milliseconds step(20);
    constexpr std::uint64_t draws = 10000;
    constexpr std::uint64_t firstParts = 40;
    SeededRandomness randomness(seed);
    const auto draw = [&] { return static_cast<double>(randomness.next() % draws) / draws; };
    for (Milliseconds played(0); played < time; played += step) {
        const PromptPartId first(sharedPart.get() + randomness.next() % firstParts);
        if (draw() < requestsPerSecond * step.count() / 1000)
            fleet.send(draw() < deadlyShare ? std::vector { first, deadlyPart } : std::vector { first });
        fleet.advance(step);
    }
}

std::size_t lateArrivals(const EngineFleet& fleet, Milliseconds reactionTime)
{
    constexpr std::size_t toleratedCrashes = 5;
    if (fleet.crashes().size() < toleratedCrashes)
        return 0;
    const Milliseconds due = fleet.crashes()[toleratedCrashes - 1] + reactionTime;
    return static_cast<std::size_t>(std::count_if(fleet.deadlyArrivals().begin(), fleet.deadlyArrivals().end(),
        [&](Milliseconds arrival) { return arrival > due; }));
}

}

// Guards against a part that crashes one engine after the other, since each crash looks like the end of a stream.
TEST_CASE("A prompt part that crashes engines after the first event of an unframed stream is refused")
{
    constexpr std::size_t toleratedArrivals = 3;
    for (const std::size_t gateways : { 3, 5 }) {
        for (const std::uint64_t seed : { 1, 2, 3 }) {
            CAPTURE(gateways);
            CAPTURE(seed);
            EngineFleet fleet({ gateways, 14, seed, 0.02, "/draft/1", true });
            play(fleet, 13, 0, Milliseconds(4000), seed);
            fleet.setDeadlyPart(deadlyPart);
            play(fleet, 13, 0.05, Milliseconds(22000), seed + 10);
            CHECK(fleet.deadlyArrivals().size() > 0);
            CHECK(lateArrivals(fleet, Milliseconds(3000)) <= toleratedArrivals);
        }
    }
}

// Guards against harmless parts that are blamed since the ends of unframed streams look like crashes.
TEST_CASE("Unframed streams that are complete quarantine nothing")
{
    EngineFleet fleet({ 3, 14, 4, 0.02, "/draft/1", true });
    play(fleet, 13, 0, Milliseconds(20000), 4);
    fleet.crashEngines(0.3);
    play(fleet, 13, 0, Milliseconds(10000), 5);
    CHECK(fleet.outcome().sent > 100);
    CHECK(fleet.outcome().quarantined == 0);
}
