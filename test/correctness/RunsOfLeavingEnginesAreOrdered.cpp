#include "core/gateway/CopyRefusals.h"
#include "core/gateway/DepartureTimes.h"
#include "core/gateway/KeptCopies.h"
#include "core/gateway/MoveOrder.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

constexpr Instant begin { Seconds(1000) };

}

// Load: an engine with eight runs that is reclaimed at two seconds' notice, while its link carries five copies in that.
TEST_CASE("The runs that lose most are moved first, and those with a copy last")
{
    const MovableRun large { 5000, 1600, Milliseconds(16000), false };
    const MovableRun small { 3100, 200, Milliseconds(2000), false };
    const MovableRun copied { 5000, 1800, Milliseconds(18000), true };
    CHECK(movesBefore(large, small));
    CHECK(movesBefore(small, copied));
    CHECK_FALSE(movesBefore(small, large));
    CHECK_FALSE(movesBefore(large, large));
    const MovableRun longer { 5200, 1600, Milliseconds(16000), false };
    CHECK(movesBefore(longer, large));
}

// Load: streams of a few events whose engine goes on for two seconds, a third of them three times as long as expected.
TEST_CASE("A run is moved unless it ends before its engine though it may be much longer than expected")
{
    const Duration timeLeft = Milliseconds(2000);
    CHECK_FALSE(needsMove({ 2550, 8, Milliseconds(100), false }, timeLeft));
    CHECK(needsMove({ 2550, 160, Milliseconds(800), false }, timeLeft));
    CHECK_FALSE(needsMove({ 2550, 0, Milliseconds(0), false }, timeLeft));
    CHECK(needsMove({ 3140, 72, Milliseconds(1100), false }, timeLeft));
    CHECK(needsMove({ 2550, 8, Milliseconds(200), false }, Milliseconds(300)));
}

TEST_CASE("The time for which leaving engines go on is the shortest of the last ones")
{
    DepartureTimes times;
    const ServiceId service("engines");
    const Duration assumed = times.shortest(service);
    CHECK(assumed > Duration(0));
    times.record(service, Milliseconds(1900));
    times.record(service, Milliseconds(1700));
    CHECK(times.shortest(service) == Milliseconds(1700));
    for (int engine = 0; engine < 16; ++engine)
        times.record(service, Milliseconds(4000));
    CHECK(times.shortest(service) == Milliseconds(4000));
    CHECK(times.shortest(ServiceId("other")) == assumed);
}

// Load: twenty runs of leaving engines at once, whose gateways look for the engines of their zone that have room.
TEST_CASE("An engine that had no room is asked for no copy of that size for a moment")
{
    CopyRefusals refusals;
    const EndpointId engine("e1");
    refusals.record(engine, 4000, begin);
    CHECK(refusals.refuses(engine, 4000, begin));
    CHECK(refusals.refuses(engine, 5000, begin));
    CHECK_FALSE(refusals.refuses(engine, 3000, begin));
    CHECK_FALSE(refusals.refuses(EndpointId("e2"), 4000, begin));
    refusals.record(engine, 3000, begin);
    CHECK(refusals.refuses(engine, 3000, begin));
    refusals.record(engine, 6000, begin);
    CHECK(refusals.refuses(engine, 3000, begin));
    CHECK_FALSE(refusals.refuses(engine, 6000, begin + Milliseconds(1000)));
}

TEST_CASE("A run goes on from the copy that lacks least")
{
    KeptCopies copies;
    for (const std::uint64_t event : { 30, 50, 40 })
        copies.add({ EndpointId("e" + std::to_string(event)), {}, KvCacheHandle("h"), event });
    copies.add({ EndpointId("e30"), {}, KvCacheHandle("h2"), 60 });
    CHECK(copies.takeNewest()->lastEventId == 60);
    CHECK(copies.takeNewest()->lastEventId == 50);
    CHECK(copies.takeNewest()->lastEventId == 40);
    CHECK_FALSE(copies.takeNewest());
    CHECK(copies.isEmpty());
    for (std::uint64_t event = 0; event < 100; ++event)
        copies.add({ EndpointId(std::to_string(event)), {}, KvCacheHandle("h"), event });
    std::size_t kept = 0;
    while (copies.takeNewest())
        ++kept;
    CHECK(kept <= 8);
}
