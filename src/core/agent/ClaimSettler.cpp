#include "core/agent/ClaimSettler.h"

namespace teaselfold {

namespace {

    /** Writes tried again in one tick, so that a recovering table is not flooded. */
    constexpr std::size_t writesPerTick = 16;

}

void ClaimSettler::settle(GenerationId call, std::string key, ClaimRecord desired, std::optional<std::uint64_t> version,
    Instant now, std::vector<AgentAction>& actions)
{
    Task task { std::move(key), std::move(desired), version, now };
    Task& place = this->tasks.insert_or_assign(call, std::move(task)).first->second;
    this->write(call, place, actions);
}

void ClaimSettler::write(GenerationId call, Task& task, std::vector<AgentAction>& actions)
{
    const OperationId operation = this->operations.next();
    this->pending.emplace(operation, call);
    task.nextTry.reset();
    const std::string value = encodeClaim(task.desired);
    if (task.version)
        actions.push_back(ToPlatform { { operation, TableReplace { task.key, value, *task.version } } });
    else
        actions.push_back(ToPlatform { { operation, TableInsert { task.key, value } } });
}

bool ClaimSettler::isSettledBy(Task& task, const WriteConflict& conflict) const
{
    if (!conflict.current) {
        task.version.reset();
        return false;
    }
    const auto record = decodeClaim(conflict.current->value);
    // A row of another claim means that this claim's late write cannot take effect any more.
    if (!record || record->token != task.desired.token)
        return true;
    task.version = conflict.current->version;
    return record->state == task.desired.state;
}

bool ClaimSettler::handle(const PlatformReply& reply, Instant now)
{
    const auto operation = this->pending.find(reply.operation);
    if (operation == this->pending.end())
        return false;
    const GenerationId call = operation->second;
    this->pending.erase(operation);
    const auto found = this->tasks.find(call);
    if (found == this->tasks.end())
        return true;
    Task& task = found->second;
    const auto* conflict = std::get_if<WriteConflict>(&reply.result);
    const bool settled = std::holds_alternative<WriteDone>(reply.result)
        || (conflict != nullptr && this->isSettledBy(task, *conflict));
    if (settled)
        this->tasks.erase(found);
    else
        task.nextTry = conflict != nullptr ? now : now + this->limits.storeRetryInterval;
    return true;
}

void ClaimSettler::tick(Instant now, std::vector<AgentAction>& actions)
{
    std::size_t writes = 0;
    for (auto& [call, task] : this->tasks) {
        if (!task.nextTry || now < *task.nextTry)
            continue;
        this->write(call, task, actions);
        writes += 1;
        if (writes >= writesPerTick)
            return;
    }
}

}
