#include "support/ControlScript.h"

#include <doctest/doctest.h>

using namespace teaselfold;
using namespace teaselfold::test;

TEST_CASE("a note whose insert took effect without an answer is found by its id")
{
    MemoryPlatform platform;
    ControlScript script("entry-1", platform);
    script.pass(Seconds(1));
    script.weather = Weather::LosesAnswers;
    CHECK_FALSE(script.publish(zoneNote("note-a", 0, "kgl-a")).has_value());
    script.weather = Weather::Answers;
    script.pass(Seconds(1));
    CHECK(script.answer() == AdminMessage(NoteAccepted { ReleaseVersion(1) }));
    // The note once, and the record of the operator's act once.
    REQUIRE(platform.rows.size() == 2);
    CHECK(platform.rows.begin()->first.starts_with("act/"));
    CHECK(platform.rows.rbegin()->first == "release/00000000000000000001");
}

TEST_CASE("a lost answer that hides another operator's note is told as stale")
{
    MemoryPlatform platform;
    ControlScript loser("entry-1", platform);
    ControlScript winner("entry-2", platform);
    loser.pass(Seconds(1));
    winner.pass(Seconds(1));
    winner.publish(zoneNote("note-b", 0, "kgl-b"));
    loser.weather = Weather::LosesAnswers;
    loser.publish(zoneNote("note-a", 0, "kgl-a"));
    loser.weather = Weather::Answers;
    loser.pass(Seconds(1));
    CHECK(loser.answer() == AdminMessage(NoteStale { ReleaseVersion(1) }));
}

TEST_CASE("when the table stays silent the outcome is unknown, and asking again by the note's id settles it")
{
    MemoryPlatform platform;
    ControlScript script("entry-1", platform);
    script.pass(Seconds(1));
    script.weather = Weather::LosesAnswers;
    script.publish(zoneNote("note-a", 0, "kgl-a"));
    script.pass(Seconds(9));
    REQUIRE(script.answer().has_value());
    CHECK(std::get<Failure>(*script.answer()).run == Executed::Unknown);

    script.weather = Weather::Answers;
    script.pass(Seconds(2));
    CHECK(script.publish(zoneNote("note-a", 0, "kgl-a")) == AdminMessage(NoteAccepted { ReleaseVersion(1) }));
    ReleaseNote other = zoneNote("note-a", 0, "kgl-c");
    CHECK(std::get<Failure>(*script.publish(other)).code == ErrorCode::Conflict);
    CHECK(script.versionsInForce() == std::vector<std::uint64_t> { 1 });
}

TEST_CASE("a note that was never sent is told as not run")
{
    MemoryPlatform platform;
    ControlScript script("entry-1", platform);
    script.pass(Seconds(1));
    script.weather = Weather::Down;
    CHECK(std::get<Failure>(*script.publish(zoneNote("note-a", 0, "kgl-a"))).run == Executed::No);
    script.weather = Weather::Answers;
    script.pass(Seconds(20));
    CHECK(platform.rows.empty());
}
