#include "support/ControlHarness.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace teaselfold;
using namespace teaselfold::test;

namespace {

void publishMany(ControlHarness& harness, std::uint64_t count)
{
    for (std::uint64_t base = 0; base < count; ++base) {
        const std::string number = std::to_string(base);
        REQUIRE(std::holds_alternative<NoteAccepted>(*harness.publish(zoneNote("note-" + number, base, "z" + number))));
    }
}

}

TEST_CASE("an older configuration from a peer or a late read is ignored")
{
    MemoryPlatform platform;
    ControlHarness harness("entry-1", platform);
    harness.advanceTime(Seconds(1));
    publishMany(harness, 3);
    Fleet old;
    old.version = ReleaseVersion(2);
    harness.send(PeerUpdate { EndpointId("drafter-1"), FleetCopy { old } });
    harness.advanceTime(Seconds(5));
    CHECK(harness.routerVersions() == std::vector<std::uint64_t> { 1, 2, 3 });
}

TEST_CASE("an entry that was paused while notes were accepted applies them after its first read")
{
    MemoryPlatform platform;
    ControlHarness paused("entry-1", platform);
    ControlHarness other("entry-2", platform);
    paused.advanceTime(Seconds(1));
    other.advanceTime(Seconds(1));
    paused.holdOperations = true;
    paused.advanceTime(Seconds(1));
    publishMany(other, 3);
    paused.holdOperations = false;
    paused.servePendingOperations();
    paused.advanceTime(Seconds(1));
    CHECK(paused.routerVersions().back() == 3);
    CHECK(std::is_sorted(paused.routerVersions().begin(), paused.routerVersions().end()));
}

TEST_CASE("a starting entry reads the newest snapshot and the notes after it")
{
    MemoryPlatform platform;
    ControlHarness harness("entry-1", platform);
    harness.advanceTime(Seconds(1));
    publishMany(harness, 70);
    CHECK(platform.rows.at("snapshot").value == "64");
    // Erases the notes up to the snapshot, so that only the snapshot can provide their changes.
    std::erase_if(platform.rows, [](const auto& row) {
        return row.first.starts_with("release/") && row.first < "release/00000000000000000065";
    });
    ControlHarness fresh("entry-2", platform);
    CHECK_FALSE(fresh.controller.isReady());
    fresh.advanceTime(Seconds(1));
    CHECK(fresh.controller.isReady());
    CHECK(fresh.routerVersions() == std::vector<std::uint64_t> { 70 });
    CHECK(fresh.view().fleet == harness.view().fleet);
}

TEST_CASE("a starting entry puts only the newest version in force")
{
    MemoryPlatform platform;
    ControlHarness harness("entry-1", platform);
    harness.advanceTime(Seconds(1));
    publishMany(harness, 3);
    ControlHarness fresh("entry-2", platform);
    fresh.advanceTime(Seconds(1));
    CHECK(fresh.routerVersions() == std::vector<std::uint64_t> { 3 });
}

TEST_CASE("an entry that starts in an outage becomes ready with its peers' highest version")
{
    MemoryPlatform platform;
    ControlHarness fresh("entry-2", platform);
    fresh.fault = PlatformFault::Unavailable;
    fresh.advanceTime(Seconds(1));
    Fleet copy;
    copy.version = ReleaseVersion(4);
    fresh.send(PeerUpdate { EndpointId("drafter-1"), FleetCopy { copy } });
    CHECK_FALSE(fresh.controller.isReady());
    copy.version = ReleaseVersion(5);
    fresh.send(PeerUpdate { EndpointId("drafter-2"), FleetCopy { copy } });
    fresh.advanceTime(Seconds(3));
    CHECK(fresh.controller.isReady());
    CHECK(fresh.view().fleet.version == ReleaseVersion(5));
}
