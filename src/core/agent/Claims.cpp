#include "core/agent/Claims.h"

#include "core/common/Check.h"

#include <algorithm>

namespace teaselfold {

namespace {

    constexpr Milliseconds conflictRetry { 1000 };
    /** Outcomes that may wait for the table; beyond them no new claim is tried. */
    constexpr std::size_t openOutcomeLimit = 10000;

    Failure storeFailure()
    {
        return { ErrorCode::StoreUnavailable, "the platform's table does not answer", Executed::No, conflictRetry };
    }

    Failure unknownRun()
    {
        return { ErrorCode::Conflict, "an earlier call with this key has not reported its end", Executed::Unknown,
            conflictRetry };
    }

    Failure otherContent()
    {
        return { ErrorCode::Conflict, "the key was used with another content", Executed::No, Milliseconds(0) };
    }

}

Claims::Claims(AdmissionLimits limits, Randomness& randomness)
    : limits(limits)
    , randomness(randomness)
    , operations(std::make_unique<OperationCounter>())
    , settler(std::make_unique<ClaimSettler>(limits, *this->operations))
{
}

std::string Claims::drawToken()
{
    return std::to_string(this->randomness.next()) + "-" + std::to_string(this->randomness.next());
}

void Claims::begin(
    GenerationId call, const ServiceWork& work, Instant deadline, Instant now, std::vector<AgentAction>& actions)
{
    Attempt attempt;
    attempt.call = call;
    attempt.key = claimKey(work);
    attempt.record.token = this->drawToken();
    attempt.record.fingerprint = work.fingerprint;
    attempt.deadline = deadline;
    attempt.storeUntil = std::min(deadline, now + this->limits.storePatience);
    Attempt& place = this->attempts.insert_or_assign(call, std::move(attempt)).first->second;
    if (this->settler->size() >= openOutcomeLimit)
        this->tryAgain(place, Step::Insert, place.storeUntil);
    else
        this->send(place, actions);
}

void Claims::cancel(GenerationId call)
{
    const auto found = this->attempts.find(call);
    if (found != this->attempts.end())
        found->second.cancelled = true;
}

void Claims::send(Attempt& attempt, std::vector<AgentAction>& actions)
{
    const OperationId operation = this->operations->next();
    this->pending.emplace(operation, attempt.call);
    attempt.nextTry.reset();
    PlatformRequest request = TableRead { attempt.key };
    if (attempt.step == Step::Insert)
        request = TableInsert { attempt.key, encodeClaim(attempt.record) };
    else if (attempt.step == Step::Replace)
        request = TableReplace { attempt.key, encodeClaim(attempt.record), attempt.version };
    actions.push_back(ToPlatform { { operation, std::move(request) } });
}

void Claims::tryAgain(Attempt& attempt, Step step, Instant at)
{
    attempt.step = step;
    attempt.nextTry = at;
}

std::vector<ClaimVerdict> Claims::handle(const PlatformReply& reply, Instant now, std::vector<AgentAction>& actions)
{
    std::vector<ClaimVerdict> verdicts;
    if (this->settler->handle(reply, now)) {
        this->settler->tick(now, actions);
        return verdicts;
    }
    const auto operation = this->pending.find(reply.operation);
    if (operation == this->pending.end())
        return verdicts;
    const GenerationId call = operation->second;
    this->pending.erase(operation);
    Attempt& attempt = this->attempts.at(call);
    if (auto verdict = this->onReply(attempt, reply.result, now, actions)) {
        verdicts.push_back(std::move(*verdict));
        this->attempts.erase(call);
    } else if (attempt.nextTry && *attempt.nextTry <= now) {
        this->send(attempt, actions);
    }
    return verdicts;
}

Claims::Verdict Claims::onReply(
    Attempt& attempt, const PlatformResult& result, Instant now, std::vector<AgentAction>& actions)
{
    if (const auto* done = std::get_if<WriteDone>(&result))
        return this->won(attempt, done->version, now, actions);
    if (const auto* conflict = std::get_if<WriteConflict>(&result); conflict != nullptr && conflict->current)
        return this->onRow(attempt, *conflict->current, now, actions);
    if (const auto* rows = std::get_if<Rows>(&result); rows != nullptr && !rows->rows.empty())
        return this->onRow(attempt, rows->rows.front(), now, actions);
    if (const auto* unavailable = std::get_if<PlatformUnavailable>(&result))
        return this->onUnavailable(attempt, unavailable->sent, now, actions);
    // No row is there any more.
    this->tryAgain(attempt, Step::Insert, now);
    return std::nullopt;
}

Claims::Verdict Claims::won(Attempt& attempt, std::uint64_t version, Instant now, std::vector<AgentAction>& actions)
{
    this->held.insert_or_assign(attempt.call, HeldClaim { attempt.key, attempt.record, version });
    if (!attempt.cancelled && now < attempt.deadline)
        return ClaimWon { attempt.call };
    this->recordNotRun(attempt.call, now, actions);
    const ErrorCode code = attempt.cancelled ? ErrorCode::Cancelled : ErrorCode::DeadlineExceeded;
    return ClaimRefused { attempt.call, { code, "the call did not start in time", Executed::No, Milliseconds(0) } };
}

Claims::Verdict Claims::onRow(Attempt& attempt, const TableRecord& row, Instant now, std::vector<AgentAction>& actions)
{
    const auto record = decodeClaim(row.value);
    if (!record)
        return ClaimRefused { attempt.call, unknownRun() };
    if (record->token == attempt.record.token)
        return this->won(attempt, row.version, now, actions);
    // Another claim's row: what this attempt wrote before did not and cannot take effect, but for a replace.
    attempt.maybeWritten = attempt.maybeWritten && attempt.step == Step::Replace && row.version == attempt.version;
    if (record->fingerprint != attempt.record.fingerprint)
        return this->abandon(attempt, otherContent(), now, actions);
    if (record->state == ClaimState::Done)
        return ClaimReplayed { attempt.call, *record };
    if (record->state == ClaimState::Claimed)
        return this->onOtherRun(attempt, now);
    attempt.version = row.version;
    this->tryAgain(attempt, Step::Replace, now);
    return std::nullopt;
}

Claims::Verdict Claims::onOtherRun(Attempt& attempt, Instant now)
{
    if (!attempt.otherUntil)
        attempt.otherUntil = std::min(attempt.deadline, now + this->limits.otherRunPatience);
    if (attempt.cancelled || now >= *attempt.otherUntil)
        return ClaimRefused { attempt.call, unknownRun() };
    attempt.storeUntil = *attempt.otherUntil;
    this->tryAgain(attempt, Step::Read, now + this->limits.storeRetryInterval);
    return std::nullopt;
}

Claims::Verdict Claims::onUnavailable(Attempt& attempt, bool sent, Instant now, std::vector<AgentAction>& actions)
{
    attempt.maybeWritten = attempt.maybeWritten || (sent && attempt.step != Step::Read);
    if (attempt.cancelled || now >= attempt.storeUntil)
        return this->abandon(attempt, attempt.otherUntil ? unknownRun() : storeFailure(), now, actions);
    this->tryAgain(attempt, attempt.step, now + this->limits.storeRetryInterval);
    return std::nullopt;
}

Claims::Verdict Claims::abandon(
    Attempt& attempt, const Failure& failure, Instant now, std::vector<AgentAction>& actions)
{
    if (attempt.maybeWritten) {
        ClaimRecord notRun = attempt.record;
        notRun.state = ClaimState::NotRun;
        const auto version = attempt.step == Step::Replace ? std::optional(attempt.version) : std::nullopt;
        this->settler->settle(attempt.call, attempt.key, std::move(notRun), version, now, actions);
    }
    return ClaimRefused { attempt.call, failure };
}

std::vector<ClaimVerdict> Claims::tick(Instant now, std::vector<AgentAction>& actions)
{
    std::vector<ClaimVerdict> verdicts;
    std::vector<GenerationId> ended;
    for (auto& [call, attempt] : this->attempts) {
        if (!attempt.nextTry)
            continue;
        const bool over = attempt.cancelled || now >= attempt.storeUntil;
        if (!over && now < *attempt.nextTry)
            continue;
        if (!over) {
            this->send(attempt, actions);
            continue;
        }
        verdicts.push_back(*this->abandon(attempt, attempt.otherUntil ? unknownRun() : storeFailure(), now, actions));
        ended.push_back(call);
    }
    for (const GenerationId call : ended)
        this->attempts.erase(call);
    this->settler->tick(now, actions);
    return verdicts;
}

void Claims::recordDone(const ServiceResponded& answer, Instant now, std::vector<AgentAction>& actions)
{
    const auto found = this->held.find(answer.call);
    internalCheck(found != this->held.end(), "only a held claim is recorded as done");
    HeldClaim claim = std::move(found->second);
    this->held.erase(found);
    claim.record.state = ClaimState::Done;
    claim.record.status = answer.status;
    claim.record.answerKept = answer.body.size() <= this->limits.keptAnswerBytes;
    if (claim.record.answerKept) {
        claim.record.headers = answer.headers;
        claim.record.body = answer.body;
    }
    this->settler->settle(answer.call, claim.key, std::move(claim.record), claim.version, now, actions);
}

void Claims::recordNotRun(GenerationId call, Instant now, std::vector<AgentAction>& actions)
{
    const auto found = this->held.find(call);
    internalCheck(found != this->held.end(), "only a held claim is recorded as not run");
    HeldClaim claim = std::move(found->second);
    this->held.erase(found);
    claim.record.state = ClaimState::NotRun;
    this->settler->settle(call, claim.key, std::move(claim.record), claim.version, now, actions);
}

}
