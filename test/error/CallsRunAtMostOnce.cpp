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

std::string lastWrittenClaim(const AgentScenario& scenario)
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

TEST_CASE("a call runs only after its claim, and a resend gets the recorded answer")
{
    AgentScenario scenario("registry-1");
    scenario.fromEntry(callOf(1));
    CHECK(scenario.count<ToService>() == 0);
    scenario.reply(WriteDone { 1 });
    CHECK(scenario.count<ToService>() == 1);
    scenario.deliver(FromService { ServiceResponded { GenerationId(1), 201, {}, "registered" } });
    CHECK(scenario.sent<CallAnswered>().empty());
    const std::string doneRecord = lastWrittenClaim(scenario);
    scenario.reply(WriteDone { 2 });
    REQUIRE(scenario.sent<CallAnswered>().size() == 1);
    scenario.fromEntry(callOf(2));
    scenario.reply(WriteConflict { TableRecord { claimKey(registration()), doneRecord, 2 } });
    REQUIRE(scenario.sent<CallAnswered>().size() == 2);
    CHECK(scenario.sent<CallAnswered>()[1].replayed);
    CHECK(scenario.sent<CallAnswered>()[1].body == "registered");
    CHECK(scenario.count<ToService>() == 1);
}

TEST_CASE("a claim whose write reply was lost is identified by the token in the row")
{
    AgentScenario scenario("registry-1");
    scenario.fromEntry(callOf(1));
    const std::string ownClaim = lastWrittenClaim(scenario);
    scenario.reply(PlatformUnavailable { true });
    scenario.advanceTime(Milliseconds(600));
    scenario.reply(WriteConflict { TableRecord { claimKey(registration()), ownClaim, 1 } });
    CHECK(scenario.count<ToService>() == 1);
}

TEST_CASE("another agent's claim is never taken over, and the call fails as possibly run")
{
    AgentScenario scenario("registry-1");
    scenario.fromEntry(callOf(1));
    for (int attempt = 0; attempt < 25; ++attempt) {
        scenario.reply(WriteConflict { rowOf(ClaimState::Claimed, "other", 1) });
        scenario.advanceTime(Milliseconds(500));
    }
    REQUIRE(scenario.sent<CallFailed>().size() == 1);
    CHECK(scenario.sent<CallFailed>()[0].failure.run == Executed::Unknown);
    CHECK(scenario.count<ToService>() == 0);
}

TEST_CASE("a call with different content under a used key fails with a conflict and does not run")
{
    AgentScenario scenario("registry-1");
    scenario.fromEntry(callOf(1, 6));
    scenario.reply(WriteConflict { rowOf(ClaimState::Done, "other", 2) });
    REQUIRE(scenario.sent<CallFailed>().size() == 1);
    CHECK(scenario.sent<CallFailed>()[0].failure.code == ErrorCode::Conflict);
    CHECK(scenario.sent<CallFailed>()[0].failure.run == Executed::No);
}

TEST_CASE("a claim written late, after its call was refused, is marked as not run and never runs")
{
    AgentScenario scenario("registry-1");
    scenario.fromEntry(callOf(1));
    const std::string lateClaim = lastWrittenClaim(scenario);
    for (int attempt = 0; attempt < 5; ++attempt) {
        scenario.reply(PlatformUnavailable { true });
        scenario.advanceTime(Milliseconds(600));
    }
    REQUIRE(scenario.sent<CallFailed>().size() == 1);
    CHECK(scenario.sent<CallFailed>()[0].failure.run == Executed::No);
    REQUIRE(std::holds_alternative<TableInsert>(scenario.lastOperation().request));
    CHECK(decodeClaim(lastWrittenClaim(scenario))->state == ClaimState::NotRun);
    scenario.reply(WriteConflict { TableRecord { claimKey(registration()), lateClaim, 1 } });
    const auto replace = std::get<TableReplace>(scenario.lastOperation().request);
    CHECK(replace.expectedVersion == 1);
    CHECK(decodeClaim(replace.value)->state == ClaimState::NotRun);
    scenario.reply(WriteDone { 2 });
    scenario.advanceTime(Seconds(2));
    CHECK(scenario.count<ToService>() == 0);
}

TEST_CASE("a key marked as not run is claimed again by replacing the version that was read")
{
    AgentScenario scenario("registry-1");
    scenario.fromEntry(callOf(1));
    scenario.reply(WriteConflict { rowOf(ClaimState::NotRun, "other", 2) });
    CHECK(std::get<TableReplace>(scenario.lastOperation().request).expectedVersion == 2);
    scenario.reply(WriteDone { 3 });
    CHECK(scenario.count<ToService>() == 1);
}

TEST_CASE("a call that did not reach the service frees its key, and a lost answer leaves the key claimed")
{
    AgentScenario scenario("registry-1");
    scenario.fromEntry(callOf(1));
    scenario.reply(WriteDone { 1 });
    scenario.deliver(FromService { ServiceCallFailed { GenerationId(1), Executed::No } });
    CHECK(scenario.sent<CallFailed>()[0].failure.run == Executed::No);
    CHECK(decodeClaim(lastWrittenClaim(scenario))->state == ClaimState::NotRun);
    scenario.reply(WriteDone { 2 });
    scenario.fromEntry(callOf(2));
    scenario.reply(WriteConflict { rowOf(ClaimState::NotRun, "one", 2) });
    scenario.reply(WriteDone { 3 });
    scenario.deliver(FromService { ServiceCallFailed { GenerationId(2), Executed::Unknown } });
    CHECK(scenario.sent<CallFailed>()[1].failure.run == Executed::Unknown);
    CHECK(decodeClaim(lastWrittenClaim(scenario))->state == ClaimState::Claimed);
}

TEST_CASE("a call cancelled while its claim is in progress does not run")
{
    AgentScenario scenario("registry-1");
    scenario.fromEntry(callOf(1));
    scenario.fromEntry(CancelGeneration { GenerationId(1) });
    scenario.reply(WriteDone { 1 });
    CHECK(scenario.count<ToService>() == 0);
    CHECK(decodeClaim(lastWrittenClaim(scenario))->state == ClaimState::NotRun);
}
