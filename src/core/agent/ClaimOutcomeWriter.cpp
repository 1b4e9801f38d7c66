#include "core/agent/ClaimOutcomeWriter.h"

namespace teaselfold {

namespace {

    /** Maximum retries per tick, so that a recovering table is not flooded. */
    constexpr std::size_t maxRetriesPerTick = 16;

}

void ClaimOutcomeWriter::writeOutcome(GenerationId call, std::string key, ClaimRecord desired,
    std::optional<std::uint64_t> version, Instant now, std::vector<AgentAction>& actions)
{
    PendingOutcome outcome { std::move(key), std::move(desired), version, now };
    PendingOutcome& added = this->outcomes.insert_or_assign(call, std::move(outcome)).first->second;
    this->sendWrite(call, added, actions);
}

void ClaimOutcomeWriter::sendWrite(GenerationId call, PendingOutcome& outcome, std::vector<AgentAction>& actions)
{
    const OperationId operation = this->operationIds.next();
    this->pendingOperations.emplace(operation, call);
    outcome.nextAttemptAt.reset();
    const std::string value = encodeClaim(outcome.desired);
    if (outcome.version)
        actions.push_back(ToPlatform { { operation, TableReplace { outcome.key, value, *outcome.version } } });
    else
        actions.push_back(ToPlatform { { operation, TableInsert { outcome.key, value } } });
}

bool ClaimOutcomeWriter::applyConflict(PendingOutcome& outcome, const WriteConflict& conflict) const
{
    if (!conflict.current) {
        outcome.version.reset();
        return false;
    }
    const auto record = decodeClaim(conflict.current->value);
    // The row belongs to another claim, so a late write of this claim can no longer take effect.
    if (!record || record->token != outcome.desired.token)
        return true;
    outcome.version = conflict.current->version;
    return record->state == outcome.desired.state;
}

bool ClaimOutcomeWriter::handle(const PlatformReply& reply, Instant now)
{
    const auto operation = this->pendingOperations.find(reply.operation);
    if (operation == this->pendingOperations.end())
        return false;
    const GenerationId call = operation->second;
    this->pendingOperations.erase(operation);
    const auto found = this->outcomes.find(call);
    if (found == this->outcomes.end())
        return true;
    PendingOutcome& outcome = found->second;
    const auto* conflict = std::get_if<WriteConflict>(&reply.result);
    const bool resolved = std::holds_alternative<WriteDone>(reply.result)
        || (conflict != nullptr && this->applyConflict(outcome, *conflict));
    if (resolved)
        this->outcomes.erase(found);
    else
        outcome.nextAttemptAt = conflict != nullptr ? now : now + this->limits.storeRetryInterval;
    return true;
}

void ClaimOutcomeWriter::tick(Instant now, std::vector<AgentAction>& actions)
{
    std::size_t writes = 0;
    for (auto& [call, outcome] : this->outcomes) {
        if (!outcome.nextAttemptAt || now < *outcome.nextAttemptAt)
            continue;
        this->sendWrite(call, outcome, actions);
        writes += 1;
        if (writes >= maxRetriesPerTick)
            return;
    }
}

}
