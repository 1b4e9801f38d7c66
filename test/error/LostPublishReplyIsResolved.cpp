#include "support/ControlHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;
using namespace teaselfold::test;

TEST_CASE("a note whose insert took effect but whose reply was lost is found by its id")
{
    MemoryPlatform platform;
    ControlHarness harness("entry-1", platform);
    harness.advanceTime(Seconds(1));
    harness.fault = PlatformFault::ReplyLost;
    CHECK_FALSE(harness.publish(zoneNote("note-a", 0, "kgl-a")).has_value());
    harness.fault = PlatformFault::None;
    harness.advanceTime(Seconds(1));
    CHECK(harness.answer() == AdminMessage(NoteAccepted { ReleaseVersion(1) }));
    // One row for the note and one for the operator's act.
    REQUIRE(platform.rows.size() == 2);
    CHECK(platform.rows.begin()->first.starts_with("act/"));
    CHECK(platform.rows.rbegin()->first == "release/00000000000000000001");
}

TEST_CASE("a publish with a lost reply is answered as stale when another operator's note was accepted")
{
    MemoryPlatform platform;
    ControlHarness loser("entry-1", platform);
    ControlHarness winner("entry-2", platform);
    loser.advanceTime(Seconds(1));
    winner.advanceTime(Seconds(1));
    winner.publish(zoneNote("note-b", 0, "kgl-b"));
    loser.fault = PlatformFault::ReplyLost;
    loser.publish(zoneNote("note-a", 0, "kgl-a"));
    loser.fault = PlatformFault::None;
    loser.advanceTime(Seconds(1));
    CHECK(loser.answer() == AdminMessage(NoteStale { ReleaseVersion(1) }));
}

TEST_CASE("without a reply from the table the outcome is unknown until the same note is published again")
{
    MemoryPlatform platform;
    ControlHarness harness("entry-1", platform);
    harness.advanceTime(Seconds(1));
    harness.fault = PlatformFault::ReplyLost;
    harness.publish(zoneNote("note-a", 0, "kgl-a"));
    harness.advanceTime(Seconds(9));
    REQUIRE(harness.answer().has_value());
    CHECK(std::get<Failure>(*harness.answer()).run == Executed::Unknown);

    harness.fault = PlatformFault::None;
    harness.advanceTime(Seconds(2));
    CHECK(harness.publish(zoneNote("note-a", 0, "kgl-a")) == AdminMessage(NoteAccepted { ReleaseVersion(1) }));
    ReleaseNote other = zoneNote("note-a", 0, "kgl-c");
    CHECK(std::get<Failure>(*harness.publish(other)).code == ErrorCode::Conflict);
    CHECK(harness.routerVersions() == std::vector<std::uint64_t> { 1 });
}

TEST_CASE("a note that was never sent is reported as not run")
{
    MemoryPlatform platform;
    ControlHarness harness("entry-1", platform);
    harness.advanceTime(Seconds(1));
    harness.fault = PlatformFault::Unavailable;
    CHECK(std::get<Failure>(*harness.publish(zoneNote("note-a", 0, "kgl-a"))).run == Executed::No);
    harness.fault = PlatformFault::None;
    harness.advanceTime(Seconds(20));
    CHECK(platform.rows.empty());
}
