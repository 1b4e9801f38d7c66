#include "support/ControlHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;
using namespace teaselfold::test;

TEST_CASE("of two notes with the same base, one is accepted and the other is answered as stale with the newest version")
{
    MemoryPlatform platform;
    ControlHarness first("entry-1", platform);
    ControlHarness second("entry-2", platform);
    first.advanceTime(Seconds(1));
    second.advanceTime(Seconds(1));

    CHECK(first.publish(zoneNote("note-a", 0, "kgl-a")) == AdminMessage(NoteAccepted { ReleaseVersion(1) }));
    CHECK(second.publish(zoneNote("note-b", 0, "kgl-b")) == AdminMessage(NoteStale { ReleaseVersion(1) }));
    CHECK(second.view().fleet.zones.contains(ZoneId("kgl-a")));
    CHECK_FALSE(second.view().fleet.zones.contains(ZoneId("kgl-b")));
}

TEST_CASE("an entry that is behind reads the table before it rejects a newer base")
{
    MemoryPlatform platform;
    ControlHarness first("entry-1", platform);
    ControlHarness second("entry-2", platform);
    first.advanceTime(Seconds(1));
    second.advanceTime(Seconds(1));
    first.publish(zoneNote("note-a", 0, "kgl-a"));

    CHECK(second.publish(zoneNote("note-b", 1, "kgl-b")) == AdminMessage(NoteAccepted { ReleaseVersion(2) }));
    CHECK(second.publish(zoneNote("note-c", 9, "kgl-c")) == AdminMessage(NoteStale { ReleaseVersion(2) }));
}

TEST_CASE("a dry run writes nothing")
{
    MemoryPlatform platform;
    ControlHarness harness("entry-1", platform);
    harness.advanceTime(Seconds(1));
    CHECK(harness.publish(zoneNote("note-a", 0, "kgl-a"), true)
        == AdminMessage(NoteAccepted { ReleaseVersion(1), true }));
    CHECK(platform.rows.empty());
}
