#include "emulator/load/LoadRecorder.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

const TeamId team { "t" };

/** @return the tally of one complete answer with the given tokens. */
Tally recordAnswer(const std::vector<std::pair<std::uint32_t, std::string>>& tokens)
{
    LoadRecorder recorder(defaultKinds());
    recorder.recordSend(1, team, 0, Instant {});
    for (const auto& [index, text] : tokens)
        recorder.recordToken(1, index, text, Instant {} + Seconds(1));
    recorder.recordEnd(1, AnswerOutcome::Completed, Instant {} + Seconds(2));
    return recorder.byTeam().at(team);
}

}

TEST_CASE("a complete answer with tokens of one generation is not counted as corrupt")
{
    const Tally tally = recordAnswer({ { 0, " ab12.0" }, { 1, " ab12.1" } });
    CHECK(tally.onTime == 1);
    CHECK(tally.corrupt == 0);
}

TEST_CASE("an answer with a repeated or missing token or one of another generation counts as corrupt")
{
    CHECK(recordAnswer({ { 0, " ab12.0" }, { 0, " ab12.0" } }).corrupt == 1);
    CHECK(recordAnswer({ { 0, " ab12.0" }, { 2, " ab12.2" } }).corrupt == 1);
    CHECK(recordAnswer({ { 0, " ab12.0" }, { 1, " ff00.1" } }).corrupt == 1);
    CHECK(recordAnswer({ { 0, " ab12.0" }, { 1, " ab12.2" } }).corrupt == 1);
}

TEST_CASE("stall sums the excess of gaps over the target, and an answer without an end counts as lost")
{
    LoadRecorder recorder(defaultKinds());
    recorder.recordSend(1, team, 0, Instant {});
    recorder.recordToken(1, 0, " ab12.0", Instant {} + Seconds(1));
    recorder.recordToken(1, 1, " ab12.1", Instant {} + Milliseconds(1020));
    recorder.recordToken(1, 2, " ab12.2", Instant {} + Milliseconds(1146));
    recorder.closeOpenAnswers(Instant {} + Seconds(9));
    const Tally tally = recorder.total();
    CHECK(tally.stall == Milliseconds(100));
    CHECK(tally.lost == 1);
    CHECK(tally.completed == 0);
}

TEST_CASE("an answer is attributed to the endpoint of its first token")
{
    LoadRecorder recorder(defaultKinds());
    recorder.recordSend(1, team, 0, Instant {});
    recorder.recordEndpoint(1, EndpointId("first"));
    recorder.recordToken(1, 0, " ab12.0", Instant {} + Seconds(1));
    recorder.recordEndpoint(1, EndpointId("second"));
    recorder.recordEnd(1, AnswerOutcome::Completed, Instant {} + Seconds(2));
    REQUIRE(recorder.byEndpoint().size() == 1);
    const EndpointTally& counted = recorder.byEndpoint().at(EndpointId("first"));
    CHECK(counted.tally.sent == 1);
    CHECK(counted.tally.completed == 1);
    CHECK(counted.sendTimes == std::vector<Instant> { Instant {} });
}
