#include "core/common/FleetUpdate.h"
#include "support/RouterBench.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

/** Puts the next version in force by a note that adds a team. */
void publish(RouterBench& bench, bool withNote = true)
{
    ReleaseNote note;
    note.base = bench.fleet.version;
    const TeamId team("team-" + std::to_string(note.base.get()));
    note.changes.emplace_back(Put<Team> { Team { team, 1, 10, "" } });
    bench.fleet = applyNote(bench.fleet, note);
    FleetChanged changed { bench.fleet };
    if (withNote)
        changed.note = NoteDelivery { bench.fleet.version, note };
    bench.send(changed);
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
    RouterBench bench({ "a-1" });
    bench.connect("a-1");
    bench.clear();
    publish(bench);
    CHECK(bench.toAgents<FleetCopy>().empty());
    REQUIRE(bench.toAgents<NoteDelivery>().size() == 1);
    CHECK(bench.toAgents<NoteDelivery>().front().second.version == ReleaseVersion(2));
}

TEST_CASE("a report that was under way does not make the configuration sent twice; a lost one does")
{
    RouterBench bench({ "a-1" });
    bench.connect("a-1");
    bench.clear();
    publish(bench);
    bench.agent("a-1", reportOf(1));
    CHECK(bench.toAgents<NoteDelivery>().size() == 1);
    bench.advance(Milliseconds(1100));
    bench.agent("a-1", reportOf(1));
    CHECK(bench.toAgents<NoteDelivery>().size() == 2);
    bench.agent("a-1", reportOf(2));
    CHECK(bench.toAgents<NoteDelivery>().size() == 2);
}

TEST_CASE("an agent that missed notes gets all that it lacks, and one that is too far behind a copy")
{
    RouterBench bench({ "a-1", "a-2" });
    for (int count = 0; count < 3; ++count)
        publish(bench);
    bench.send(LinkUp { EndpointId("a-1") });
    bench.agent("a-1", AgentHello { EndpointId("a-1"), Incarnation(1) });
    bench.agent("a-1", reportOf(2));
    CHECK(bench.toAgents<NoteDelivery>().size() == 2);
    bench.send(LinkUp { EndpointId("a-2") });
    bench.agent("a-2", AgentHello { EndpointId("a-2"), Incarnation(1) });
    bench.agent("a-2", reportOf(0));
    CHECK(bench.toAgents<NoteDelivery>().size() == 2);
    REQUIRE(bench.toAgents<FleetCopy>().size() == 1);
    CHECK(bench.toAgents<FleetCopy>().front().second.fleet == bench.fleet);
}

TEST_CASE("a version that came without its note travels as a copy")
{
    RouterBench bench({ "a-1" });
    bench.connect("a-1");
    bench.clear();
    publish(bench, false);
    CHECK(bench.toAgents<FleetCopy>().size() == 1);
}

TEST_CASE("an entry that is behind asks nobody for a copy, for the notes come in answer to its heartbeat")
{
    RouterBench bench({ "a-1" });
    bench.connect("a-1");
    bench.clear();
    bench.agent("a-1", reportOf(9));
    CHECK(bench.toAgents<FleetRequest>().empty());
}
