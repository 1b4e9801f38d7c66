#include "core/control/ControlContext.h"

#include "core/common/HexText.h"

namespace teaselfold {

OperationId PendingOperations::start(OperationPurpose purpose, Instant now)
{
    const OperationId operation(++this->lastId);
    this->pending.emplace(operation, PendingOperation { std::move(purpose), now });
    return operation;
}

std::optional<OperationPurpose> PendingOperations::finish(OperationId operation)
{
    const auto found = this->pending.find(operation);
    if (found == this->pending.end())
        return std::nullopt;
    std::optional<OperationPurpose> purpose(std::move(found->second.purpose));
    this->pending.erase(found);
    return purpose;
}

std::vector<OperationPurpose> PendingOperations::expire(Instant now, Duration timeout)
{
    std::vector<OperationPurpose> expired;
    // Ids increase with time, so the map starts with the oldest operation.
    while (!this->pending.empty() && now - this->pending.begin()->second.startedAt >= timeout) {
        expired.push_back(std::move(this->pending.begin()->second.purpose));
        this->pending.erase(this->pending.begin());
    }
    return expired;
}

void ControlContext::submit(PlatformRequest request, OperationPurpose purpose)
{
    const OperationId operation = this->pendingOperations.start(std::move(purpose), this->now);
    this->actions.emplace_back(ControlToPlatform { { operation, std::move(request) } });
}

void ControlContext::answer(AdminRequestId admin, AdminMessage message)
{
    this->actions.emplace_back(ToAdmin { admin, std::move(message) });
}

OrderId ControlContext::generateId() { return OrderId(this->entry.get() + "-" + hexText(this->randomness.next())); }

void ControlContext::log(std::string name, std::vector<LogField> fields)
{
    this->actions.emplace_back(LogEvent { std::move(name), std::move(fields) });
}

Failure storeFailure(Executed run)
{
    constexpr Milliseconds retryAfter(1000);
    return Failure { ErrorCode::StoreUnavailable, "the platform's table does not answer", run, retryAfter };
}

bool isUnavailable(const PlatformResult& result) { return std::holds_alternative<PlatformUnavailable>(result); }

}
