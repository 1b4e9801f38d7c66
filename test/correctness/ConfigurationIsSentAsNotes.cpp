#include "core/common/FleetUpdate.h"
#include "support/RouterHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

/** Brings the next configuration version into force; its note adds a team. */
void publish(RouterHarness& harness, bool withNote = true)
{
    ReleaseNote note;
    note.base = harness.fleet.version;
    const TeamId team("team-" + std::to_string(note.base.get()));
    note.changes.emplace_back(Put<Team> { Team { team, 1, 10, "" } });
    harness.fleet = applyNote(harness.fleet, note);
    FleetChanged changed { harness.fleet };
    if (withNote)
        changed.note = NoteDelivery { harness.fleet.version, note };
    harness.send(changed);
}

LoadReport reportWithVersion(std::uint64_t version)
{
    LoadReport report;
    report.release = ReleaseVersion(version);
    return report;
}

}

TEST_CASE("an agent one version behind gets the release note and no full copy")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    harness.clear();
    publish(harness);
    CHECK(harness.sentToAgents<FleetCopy>().empty());
    REQUIRE(harness.sentToAgents<NoteDelivery>().size() == 1);
    CHECK(harness.sentToAgents<NoteDelivery>().front().second.version == ReleaseVersion(2));
}

TEST_CASE("a note is not sent again on a report that was in transit, but is after the resend interval")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    harness.clear();
    publish(harness);
    harness.deliverFromAgent("a-1", reportWithVersion(1));
    CHECK(harness.sentToAgents<NoteDelivery>().size() == 1);
    harness.advance(Milliseconds(1100));
    harness.deliverFromAgent("a-1", reportWithVersion(1));
    CHECK(harness.sentToAgents<NoteDelivery>().size() == 2);
    harness.deliverFromAgent("a-1", reportWithVersion(2));
    CHECK(harness.sentToAgents<NoteDelivery>().size() == 2);
}

TEST_CASE("an agent that missed several notes gets all of them, and one too far behind gets a full copy")
{
    RouterHarness harness({ "a-1", "a-2" });
    for (int count = 0; count < 3; ++count)
        publish(harness);
    harness.send(LinkUp { EndpointId("a-1") });
    harness.deliverFromAgent("a-1", AgentHello { EndpointId("a-1"), Incarnation(1) });
    harness.deliverFromAgent("a-1", reportWithVersion(2));
    CHECK(harness.sentToAgents<NoteDelivery>().size() == 2);
    harness.send(LinkUp { EndpointId("a-2") });
    harness.deliverFromAgent("a-2", AgentHello { EndpointId("a-2"), Incarnation(1) });
    harness.deliverFromAgent("a-2", reportWithVersion(0));
    CHECK(harness.sentToAgents<NoteDelivery>().size() == 2);
    REQUIRE(harness.sentToAgents<FleetCopy>().size() == 1);
    CHECK(harness.sentToAgents<FleetCopy>().front().second.fleet == harness.fleet);
}

TEST_CASE("a version that arrived without its note is sent as a full copy")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    harness.clear();
    publish(harness, false);
    CHECK(harness.sentToAgents<FleetCopy>().size() == 1);
}

TEST_CASE("an entry that is behind requests no full copy, since agents answer its heartbeat with the notes")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    harness.clear();
    harness.deliverFromAgent("a-1", reportWithVersion(9));
    CHECK(harness.sentToAgents<FleetRequest>().empty());
}
