#include "core/control/ControlContext.h"

#include "core/common/HexText.h"

namespace teaselfold {

OperationId ControlOperations::start(OperationPurpose purpose, Instant now)
{
    const OperationId operation(++this->lastId);
    this->started.emplace(operation, Started { std::move(purpose), now });
    return operation;
}

std::optional<OperationPurpose> ControlOperations::finish(OperationId operation)
{
    const auto found = this->started.find(operation);
    if (found == this->started.end())
        return std::nullopt;
    std::optional<OperationPurpose> purpose(std::move(found->second.purpose));
    this->started.erase(found);
    return purpose;
}

std::vector<OperationPurpose> ControlOperations::expire(Instant now, Duration timeout)
{
    std::vector<OperationPurpose> expired;
    // Ids rise with time, so the oldest operations come first.
    while (!this->started.empty() && now - this->started.begin()->second.at >= timeout) {
        expired.push_back(std::move(this->started.begin()->second.purpose));
        this->started.erase(this->started.begin());
    }
    return expired;
}

void ControlContext::ask(PlatformRequest request, OperationPurpose purpose)
{
    const OperationId operation = this->operations.start(std::move(purpose), this->now);
    this->actions.emplace_back(ControlToPlatform { { operation, std::move(request) } });
}

void ControlContext::answer(AdminRequestId admin, AdminMessage message)
{
    this->actions.emplace_back(ToAdmin { admin, std::move(message) });
}

OrderId ControlContext::drawId() { return OrderId(this->entry.get() + "-" + hexText(this->randomness.next())); }

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
