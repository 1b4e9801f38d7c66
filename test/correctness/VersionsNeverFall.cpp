#include "support/ControlScript.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace teaselfold;
using namespace teaselfold::test;

namespace {

void publishMany(ControlScript& script, std::uint64_t count)
{
    for (std::uint64_t base = 0; base < count; ++base) {
        const std::string number = std::to_string(base);
        REQUIRE(std::holds_alternative<NoteAccepted>(*script.publish(zoneNote("note-" + number, base, "z" + number))));
    }
}

}

TEST_CASE("an older copy from a peer or a late read changes nothing")
{
    MemoryPlatform platform;
    ControlScript script("entry-1", platform);
    script.pass(Seconds(1));
    publishMany(script, 3);
    Fleet old;
    old.version = ReleaseVersion(2);
    script.send(PeerUpdate { EndpointId("drafter-1"), FleetCopy { old } });
    script.pass(Seconds(5));
    CHECK(script.versionsInForce() == std::vector<std::uint64_t> { 1, 2, 3 });
}

TEST_CASE("an entry that was paused over several notes has them after its first read")
{
    MemoryPlatform platform;
    ControlScript paused("entry-1", platform);
    ControlScript other("entry-2", platform);
    paused.pass(Seconds(1));
    other.pass(Seconds(1));
    paused.hold = true;
    paused.pass(Seconds(1));
    publishMany(other, 3);
    paused.hold = false;
    paused.release();
    paused.pass(Seconds(1));
    CHECK(paused.versionsInForce().back() == 3);
    CHECK(std::is_sorted(paused.versionsInForce().begin(), paused.versionsInForce().end()));
}

TEST_CASE("a start reads the newest snapshot and the notes after it")
{
    MemoryPlatform platform;
    ControlScript script("entry-1", platform);
    script.pass(Seconds(1));
    publishMany(script, 70);
    CHECK(platform.rows.at("snapshot").value == "64");
    // The notes up to the snapshot are gone, so that only the snapshot gives what they said.
    std::erase_if(platform.rows, [](const auto& row) {
        return row.first.starts_with("release/") && row.first < "release/00000000000000000065";
    });
    ControlScript fresh("entry-2", platform);
    CHECK_FALSE(fresh.keeper.isReady());
    fresh.pass(Seconds(1));
    CHECK(fresh.keeper.isReady());
    CHECK(fresh.versionsInForce() == std::vector<std::uint64_t> { 70 });
    CHECK(fresh.view().fleet == script.view().fleet);
}

TEST_CASE("a start puts no version in force but the newest")
{
    MemoryPlatform platform;
    ControlScript script("entry-1", platform);
    script.pass(Seconds(1));
    publishMany(script, 3);
    ControlScript fresh("entry-2", platform);
    fresh.pass(Seconds(1));
    CHECK(fresh.versionsInForce() == std::vector<std::uint64_t> { 3 });
}

TEST_CASE("a process that starts in an outage becomes ready with the highest version of its peers")
{
    MemoryPlatform platform;
    ControlScript fresh("entry-2", platform);
    fresh.weather = Weather::Down;
    fresh.pass(Seconds(1));
    Fleet copy;
    copy.version = ReleaseVersion(4);
    fresh.send(PeerUpdate { EndpointId("drafter-1"), FleetCopy { copy } });
    CHECK_FALSE(fresh.keeper.isReady());
    copy.version = ReleaseVersion(5);
    fresh.send(PeerUpdate { EndpointId("drafter-2"), FleetCopy { copy } });
    fresh.pass(Seconds(3));
    CHECK(fresh.keeper.isReady());
    CHECK(fresh.view().fleet.version == ReleaseVersion(5));
}
