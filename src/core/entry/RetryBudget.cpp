#include "core/entry/RetryBudget.h"

#include <algorithm>

namespace teaselfold {

RetryBudget::RetryBudget(const RouterLimits& limits)
    : limits(limits)
    , available(limits.retryFloor)
{
}

void RetryBudget::deposit()
{
    this->available = std::min(this->available + this->limits.retryBudgetRatio, this->limits.retryCeiling);
}

void RetryBudget::setFloor(double retries)
{
    this->limits.retryFloor = retries;
    this->limits.retryCeiling = retries;
    this->available = std::min(this->available, retries);
}

bool RetryBudget::withdraw(Instant now)
{
    this->refill(now);
    if (this->available < 1)
        return false;
    this->available -= 1;
    return true;
}

void RetryBudget::refill(Instant now)
{
    const Instant since = this->refilledAt.value_or(now);
    this->refilledAt = now;
    if (this->available >= this->limits.retryFloor)
        return;
    const double gained
        = std::chrono::duration<double>(now - since) / this->limits.retryFloorTime * this->limits.retryFloor;
    this->available = std::min(this->available + gained, this->limits.retryFloor);
}

}
