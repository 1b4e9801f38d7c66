#include "core/entry/RetryBudget.h"

#include <algorithm>

namespace teaselfold {

RetryBudget::RetryBudget(const RouterLimits& limits)
    : limits(limits)
    , available(limits.minRetries)
{
}

void RetryBudget::deposit()
{
    this->available = std::min(this->available + this->limits.retryBudgetRatio, this->limits.retryCapacity);
}

void RetryBudget::setMinRetries(double retries)
{
    this->limits.minRetries = retries;
    this->limits.retryCapacity = retries;
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
    if (this->available >= this->limits.minRetries)
        return;
    const double gained
        = std::chrono::duration<double>(now - since) / this->limits.retryWindow * this->limits.minRetries;
    this->available = std::min(this->available + gained, this->limits.minRetries);
}

}
