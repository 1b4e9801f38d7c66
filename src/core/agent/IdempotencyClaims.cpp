#include "core/agent/IdempotencyClaims.h"

#include "core/common/Check.h"

#include <algorithm>

namespace teaselfold {

namespace {

    constexpr Milliseconds claimRetryAfter { 1000 };
    /** Maximum outcomes that wait to be written; at this limit no new claim is sent. */
    constexpr std::size_t maxPendingOutcomes = 10000;

    Failure storeUnavailableFailure()
    {
        return { ErrorCode::StoreUnavailable, "the platform's table does not answer", Executed::No, claimRetryAfter };
    }

    Failure unknownRunFailure()
    {
        return { ErrorCode::Conflict, "an earlier call with this key has not reported its end", Executed::Unknown,
            claimRetryAfter };
    }

    Failure contentMismatchFailure()
    {
        return { ErrorCode::Conflict, "the key was used with another content", Executed::No, Milliseconds(0) };
    }

}

IdempotencyClaims::IdempotencyClaims(AgentLimits limits, Randomness& randomness)
    : limits(limits)
    , randomness(randomness)
    , operationIds(std::make_unique<OperationIdGenerator>())
    , outcomeWriter(std::make_unique<ClaimOutcomeWriter>(limits, *this->operationIds))
{
}

std::string IdempotencyClaims::generateToken()
{
    return std::to_string(this->randomness.next()) + "-" + std::to_string(this->randomness.next());
}

void IdempotencyClaims::begin(
    GenerationId call, const ServiceWork& work, Instant deadline, Instant now, std::vector<AgentAction>& actions)
{
    Attempt attempt;
    attempt.call = call;
    attempt.key = claimKey(work);
    attempt.record.token = this->generateToken();
    attempt.record.fingerprint = work.fingerprint;
    attempt.deadline = deadline;
    attempt.storeDeadline = std::min(deadline, now + this->limits.claimWriteTimeout);
    Attempt& added = this->attempts.insert_or_assign(call, std::move(attempt)).first->second;
    if (this->outcomeWriter->size() >= maxPendingOutcomes)
        this->scheduleRetry(added, Step::Insert, added.storeDeadline);
    else
        this->send(added, actions);
}

void IdempotencyClaims::cancel(GenerationId call)
{
    const auto found = this->attempts.find(call);
    if (found != this->attempts.end())
        found->second.cancelled = true;
}

void IdempotencyClaims::send(Attempt& attempt, std::vector<AgentAction>& actions)
{
    const OperationId operation = this->operationIds->next();
    this->pendingOperations.emplace(operation, attempt.call);
    attempt.nextAttemptAt.reset();
    PlatformRequest request = TableRead { attempt.key };
    if (attempt.step == Step::Insert)
        request = TableInsert { attempt.key, encodeClaim(attempt.record) };
    else if (attempt.step == Step::Replace)
        request = TableReplace { attempt.key, encodeClaim(attempt.record), attempt.version };
    actions.push_back(ToPlatform { { operation, std::move(request) } });
}

void IdempotencyClaims::scheduleRetry(Attempt& attempt, Step step, Instant at)
{
    attempt.step = step;
    attempt.nextAttemptAt = at;
}

std::vector<ClaimResult> IdempotencyClaims::handle(
    const PlatformReply& reply, Instant now, std::vector<AgentAction>& actions)
{
    std::vector<ClaimResult> results;
    if (this->outcomeWriter->handle(reply, now)) {
        this->outcomeWriter->tick(now, actions);
        return results;
    }
    const auto operation = this->pendingOperations.find(reply.operation);
    if (operation == this->pendingOperations.end())
        return results;
    const GenerationId call = operation->second;
    this->pendingOperations.erase(operation);
    Attempt& attempt = this->attempts.at(call);
    if (auto claimResult = this->onReply(attempt, reply.result, now, actions)) {
        results.push_back(std::move(*claimResult));
        this->attempts.erase(call);
    } else if (attempt.nextAttemptAt && *attempt.nextAttemptAt <= now) {
        this->send(attempt, actions);
    }
    return results;
}

IdempotencyClaims::OptionalResult IdempotencyClaims::onReply(
    Attempt& attempt, const PlatformResult& result, Instant now, std::vector<AgentAction>& actions)
{
    if (const auto* done = std::get_if<WriteDone>(&result))
        return this->onAcquired(attempt, done->version, now, actions);
    if (const auto* conflict = std::get_if<WriteConflict>(&result); conflict != nullptr && conflict->current)
        return this->onExistingRow(attempt, *conflict->current, now, actions);
    if (const auto* rows = std::get_if<Rows>(&result); rows != nullptr && !rows->rows.empty())
        return this->onExistingRow(attempt, rows->rows.front(), now, actions);
    if (const auto* unavailable = std::get_if<PlatformUnavailable>(&result))
        return this->onUnavailable(attempt, unavailable->sent, now, actions);
    // The row no longer exists.
    this->scheduleRetry(attempt, Step::Insert, now);
    return std::nullopt;
}

IdempotencyClaims::OptionalResult IdempotencyClaims::onAcquired(
    Attempt& attempt, std::uint64_t version, Instant now, std::vector<AgentAction>& actions)
{
    this->held.insert_or_assign(attempt.call, HeldClaim { attempt.key, attempt.record, version });
    if (!attempt.cancelled && now < attempt.deadline)
        return ClaimAcquired { attempt.call };
    this->recordNotRun(attempt.call, now, actions);
    const ErrorCode code = attempt.cancelled ? ErrorCode::Cancelled : ErrorCode::DeadlineExceeded;
    return ClaimRefused { attempt.call, { code, "the call did not start in time", Executed::No, Milliseconds(0) } };
}

IdempotencyClaims::OptionalResult IdempotencyClaims::onExistingRow(
    Attempt& attempt, const TableRecord& row, Instant now, std::vector<AgentAction>& actions)
{
    const auto record = decodeClaim(row.value);
    if (!record)
        return ClaimRefused { attempt.call, unknownRunFailure() };
    if (record->token == attempt.record.token)
        return this->onAcquired(attempt, row.version, now, actions);
    // The row belongs to another claim, so an earlier insert of this attempt did not and cannot take effect. An
    // earlier replace still can while the row has the expected version.
    attempt.possiblyWritten
        = attempt.possiblyWritten && attempt.step == Step::Replace && row.version == attempt.version;
    if (record->fingerprint != attempt.record.fingerprint)
        return this->abandon(attempt, contentMismatchFailure(), now, actions);
    if (record->state == ClaimState::Done)
        return ClaimReplayed { attempt.call, *record };
    if (record->state == ClaimState::Claimed)
        return this->onClaimedElsewhere(attempt, now);
    attempt.version = row.version;
    this->scheduleRetry(attempt, Step::Replace, now);
    return std::nullopt;
}

IdempotencyClaims::OptionalResult IdempotencyClaims::onClaimedElsewhere(Attempt& attempt, Instant now)
{
    if (!attempt.otherRunDeadline)
        attempt.otherRunDeadline = std::min(attempt.deadline, now + this->limits.duplicateCallTimeout);
    if (attempt.cancelled || now >= *attempt.otherRunDeadline)
        return ClaimRefused { attempt.call, unknownRunFailure() };
    attempt.storeDeadline = *attempt.otherRunDeadline;
    this->scheduleRetry(attempt, Step::Read, now + this->limits.storeRetryInterval);
    return std::nullopt;
}

IdempotencyClaims::OptionalResult IdempotencyClaims::onUnavailable(
    Attempt& attempt, bool sent, Instant now, std::vector<AgentAction>& actions)
{
    attempt.possiblyWritten = attempt.possiblyWritten || (sent && attempt.step != Step::Read);
    if (attempt.cancelled || now >= attempt.storeDeadline)
        return this->abandon(
            attempt, attempt.otherRunDeadline ? unknownRunFailure() : storeUnavailableFailure(), now, actions);
    this->scheduleRetry(attempt, attempt.step, now + this->limits.storeRetryInterval);
    return std::nullopt;
}

IdempotencyClaims::OptionalResult IdempotencyClaims::abandon(
    Attempt& attempt, const Failure& failure, Instant now, std::vector<AgentAction>& actions)
{
    if (attempt.possiblyWritten) {
        ClaimRecord notRun = attempt.record;
        notRun.state = ClaimState::NotRun;
        const auto version = attempt.step == Step::Replace ? std::optional(attempt.version) : std::nullopt;
        this->outcomeWriter->writeOutcome(attempt.call, attempt.key, std::move(notRun), version, now, actions);
    }
    return ClaimRefused { attempt.call, failure };
}

std::vector<ClaimResult> IdempotencyClaims::tick(Instant now, std::vector<AgentAction>& actions)
{
    std::vector<ClaimResult> results;
    std::vector<GenerationId> finished;
    for (auto& [call, attempt] : this->attempts) {
        if (!attempt.nextAttemptAt)
            continue;
        const bool expired = attempt.cancelled || now >= attempt.storeDeadline;
        if (!expired && now < *attempt.nextAttemptAt)
            continue;
        if (!expired) {
            this->send(attempt, actions);
            continue;
        }
        results.push_back(*this->abandon(
            attempt, attempt.otherRunDeadline ? unknownRunFailure() : storeUnavailableFailure(), now, actions));
        finished.push_back(call);
    }
    for (const GenerationId call : finished)
        this->attempts.erase(call);
    this->outcomeWriter->tick(now, actions);
    return results;
}

void IdempotencyClaims::recordDone(const ServiceResponded& answer, Instant now, std::vector<AgentAction>& actions)
{
    const auto found = this->held.find(answer.call);
    internalCheck(found != this->held.end(), "only a claim held by this agent can be recorded as done");
    HeldClaim claim = std::move(found->second);
    this->held.erase(found);
    claim.record.state = ClaimState::Done;
    claim.record.status = answer.status;
    claim.record.answerKept = answer.body.size() <= this->limits.maxStoredAnswerBytes;
    if (claim.record.answerKept) {
        claim.record.headers = answer.headers;
        claim.record.body = answer.body;
    }
    this->outcomeWriter->writeOutcome(answer.call, claim.key, std::move(claim.record), claim.version, now, actions);
}

void IdempotencyClaims::recordNotRun(GenerationId call, Instant now, std::vector<AgentAction>& actions)
{
    const auto found = this->held.find(call);
    internalCheck(found != this->held.end(), "only a claim held by this agent can be recorded as not run");
    HeldClaim claim = std::move(found->second);
    this->held.erase(found);
    claim.record.state = ClaimState::NotRun;
    this->outcomeWriter->writeOutcome(call, claim.key, std::move(claim.record), claim.version, now, actions);
}

}
