#include "core/common/FleetUpdate.h"
#include "support/RouterHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

/** Puts the next version in force by a note that adds a team. */
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

LoadReport reportOf(std::uint64_t version)
{
    LoadReport report;
    report.release = ReleaseVersion(version);
    return report;
}

}

TEST_CASE("an agent that is one version behind gets the note and no copy")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    harness.clear();
    publish(harness);
    CHECK(harness.toAgents<FleetCopy>().empty());
    REQUIRE(harness.toAgents<NoteDelivery>().size() == 1);
    CHECK(harness.toAgents<NoteDelivery>().front().second.version == ReleaseVersion(2));
}

TEST_CASE("a report that was under way does not make the configuration sent twice; a lost one does")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    harness.clear();
    publish(harness);
    harness.agent("a-1", reportOf(1));
    CHECK(harness.toAgents<NoteDelivery>().size() == 1);
    harness.advance(Milliseconds(1100));
    harness.agent("a-1", reportOf(1));
    CHECK(harness.toAgents<NoteDelivery>().size() == 2);
    harness.agent("a-1", reportOf(2));
    CHECK(harness.toAgents<NoteDelivery>().size() == 2);
}

TEST_CASE("an agent that missed notes gets all that it lacks, and one that is too far behind a copy")
{
    RouterHarness harness({ "a-1", "a-2" });
    for (int count = 0; count < 3; ++count)
        publish(harness);
    harness.send(LinkUp { EndpointId("a-1") });
    harness.agent("a-1", AgentHello { EndpointId("a-1"), Incarnation(1) });
    harness.agent("a-1", reportOf(2));
    CHECK(harness.toAgents<NoteDelivery>().size() == 2);
    harness.send(LinkUp { EndpointId("a-2") });
    harness.agent("a-2", AgentHello { EndpointId("a-2"), Incarnation(1) });
    harness.agent("a-2", reportOf(0));
    CHECK(harness.toAgents<NoteDelivery>().size() == 2);
    REQUIRE(harness.toAgents<FleetCopy>().size() == 1);
    CHECK(harness.toAgents<FleetCopy>().front().second.fleet == harness.fleet);
}

TEST_CASE("a version that came without its note travels as a copy")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    harness.clear();
    publish(harness, false);
    CHECK(harness.toAgents<FleetCopy>().size() == 1);
}

TEST_CASE("an entry that is behind asks nobody for a copy, for the notes come in answer to its heartbeat")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    harness.clear();
    harness.agent("a-1", reportOf(9));
    CHECK(harness.toAgents<FleetRequest>().empty());
}
