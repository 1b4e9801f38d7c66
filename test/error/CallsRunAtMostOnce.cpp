#include "support/AgentScenario.h"

#include "core/agent/ClaimRecord.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

ServiceWork registration(std::uint64_t content = 5)
{
    ServiceWork work;
    work.team = TeamId("huye");
    work.service = ServiceId("registry");
    work.method = "POST";
    work.path = "/orders";
    work.key = IdempotencyKey("closure/12");
    work.atMostOnce = true;
    work.fingerprint = Fingerprint(content);
    return work;
}

SubmitCall callOf(std::uint64_t id, std::uint64_t content = 5)
{
    return SubmitCall { GenerationId(id), registration(content), Seconds(30) };
}

std::string claimOf(const AgentScenario& scenario)
{
    const PlatformRequest request = scenario.lastOperation().request;
    if (const auto* insert = std::get_if<TableInsert>(&request))
        return insert->value;
    return std::get<TableReplace>(request).value;
}

TableRecord rowOf(ClaimState state, const std::string& token, std::uint64_t version)
{
    ClaimRecord record;
    record.state = state;
    record.token = token;
    record.fingerprint = Fingerprint(5);
    record.status = 201;
    record.body = "registered";
    return { claimKey(registration()), encodeClaim(record), version };
}

}

TEST_CASE("a call runs after its claim, its answer is recorded and given again to a resend")
{
    AgentScenario scenario("registry-1");
    scenario.fromEntry(callOf(1));
    CHECK(scenario.count<ToService>() == 0);
    scenario.reply(WriteDone { 1 });
    CHECK(scenario.count<ToService>() == 1);
    scenario.give(FromService { ServiceResponded { GenerationId(1), 201, {}, "registered" } });
    CHECK(scenario.sent<CallAnswered>().empty());
    const std::string done = claimOf(scenario);
    scenario.reply(WriteDone { 2 });
    REQUIRE(scenario.sent<CallAnswered>().size() == 1);
    scenario.fromEntry(callOf(2));
    scenario.reply(WriteConflict { TableRecord { claimKey(registration()), done, 2 } });
    REQUIRE(scenario.sent<CallAnswered>().size() == 2);
    CHECK(scenario.sent<CallAnswered>()[1].replayed);
    CHECK(scenario.sent<CallAnswered>()[1].body == "registered");
    CHECK(scenario.count<ToService>() == 1);
}

TEST_CASE("a lost answer to the claim is settled by the row's token")
{
    AgentScenario scenario("registry-1");
    scenario.fromEntry(callOf(1));
    const std::string own = claimOf(scenario);
    scenario.reply(PlatformUnavailable { true });
    scenario.pass(Milliseconds(600));
    scenario.reply(WriteConflict { TableRecord { claimKey(registration()), own, 1 } });
    CHECK(scenario.count<ToService>() == 1);
}

TEST_CASE("a claim of another agent is never taken over; the caller is told that nobody knows")
{
    AgentScenario scenario("registry-1");
    scenario.fromEntry(callOf(1));
    for (int reading = 0; reading < 25; ++reading) {
        scenario.reply(WriteConflict { rowOf(ClaimState::Claimed, "other", 1) });
        scenario.pass(Milliseconds(500));
    }
    REQUIRE(scenario.sent<CallFailed>().size() == 1);
    CHECK(scenario.sent<CallFailed>()[0].failure.run == Executed::Unknown);
    CHECK(scenario.count<ToService>() == 0);
}

TEST_CASE("another content under a used key is a conflict and does not run")
{
    AgentScenario scenario("registry-1");
    scenario.fromEntry(callOf(1, 6));
    scenario.reply(WriteConflict { rowOf(ClaimState::Done, "other", 2) });
    REQUIRE(scenario.sent<CallFailed>().size() == 1);
    CHECK(scenario.sent<CallFailed>()[0].failure.code == ErrorCode::Conflict);
    CHECK(scenario.sent<CallFailed>()[0].failure.run == Executed::No);
}

TEST_CASE("a claim whose write came late after the refusal is marked as not run and never runs")
{
    AgentScenario scenario("registry-1");
    scenario.fromEntry(callOf(1));
    const std::string late = claimOf(scenario);
    for (int time = 0; time < 5; ++time) {
        scenario.reply(PlatformUnavailable { true });
        scenario.pass(Milliseconds(600));
    }
    REQUIRE(scenario.sent<CallFailed>().size() == 1);
    CHECK(scenario.sent<CallFailed>()[0].failure.run == Executed::No);
    REQUIRE(std::holds_alternative<TableInsert>(scenario.lastOperation().request));
    CHECK(decodeClaim(claimOf(scenario))->state == ClaimState::NotRun);
    scenario.reply(WriteConflict { TableRecord { claimKey(registration()), late, 1 } });
    const auto replace = std::get<TableReplace>(scenario.lastOperation().request);
    CHECK(replace.expectedVersion == 1);
    CHECK(decodeClaim(replace.value)->state == ClaimState::NotRun);
    scenario.reply(WriteDone { 2 });
    scenario.pass(Seconds(2));
    CHECK(scenario.count<ToService>() == 0);
}

TEST_CASE("a key marked as not run is claimed again on its version")
{
    AgentScenario scenario("registry-1");
    scenario.fromEntry(callOf(1));
    scenario.reply(WriteConflict { rowOf(ClaimState::NotRun, "other", 2) });
    CHECK(std::get<TableReplace>(scenario.lastOperation().request).expectedVersion == 2);
    scenario.reply(WriteDone { 3 });
    CHECK(scenario.count<ToService>() == 1);
}

TEST_CASE("a service that was never reached leaves the key free; a lost answer leaves it unknown")
{
    AgentScenario scenario("registry-1");
    scenario.fromEntry(callOf(1));
    scenario.reply(WriteDone { 1 });
    scenario.give(FromService { ServiceCallFailed { GenerationId(1), Executed::No } });
    CHECK(scenario.sent<CallFailed>()[0].failure.run == Executed::No);
    CHECK(decodeClaim(claimOf(scenario))->state == ClaimState::NotRun);
    scenario.reply(WriteDone { 2 });
    scenario.fromEntry(callOf(2));
    scenario.reply(WriteConflict { rowOf(ClaimState::NotRun, "one", 2) });
    scenario.reply(WriteDone { 3 });
    scenario.give(FromService { ServiceCallFailed { GenerationId(2), Executed::Unknown } });
    CHECK(scenario.sent<CallFailed>()[1].failure.run == Executed::Unknown);
    CHECK(decodeClaim(claimOf(scenario))->state == ClaimState::Claimed);
}

TEST_CASE("a cancel before the claim is clear keeps the call from running")
{
    AgentScenario scenario("registry-1");
    scenario.fromEntry(callOf(1));
    scenario.fromEntry(CancelGeneration { GenerationId(1) });
    scenario.reply(WriteDone { 1 });
    CHECK(scenario.count<ToService>() == 0);
    CHECK(decodeClaim(claimOf(scenario))->state == ClaimState::NotRun);
}
