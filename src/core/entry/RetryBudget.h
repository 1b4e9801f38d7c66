#pragma once

#include "core/entry/RouterLimits.h"

#include <optional>

namespace teaselfold {

/** A token bucket that limits retries to a share of the traffic, so that retries cannot amplify an overload. */
class RetryBudget {
public:
    explicit RetryBudget(const RouterLimits& limits);
    /** Adds `RouterLimits::retryBudgetRatio` retries to the budget, for one new request. */
    void deposit();
    /** Sets both the retries allowed per window and the capacity; saved retries above the capacity are discarded. */
    void setMinRetries(double retries);
    /** Takes one retry. @return false when the budget is spent. */
    bool withdraw(Instant now);

private:
    /** Refills the budget towards the minimum in proportion to the time passed. */
    void refill(Instant now);

    RouterLimits limits;
    double available;
    std::optional<Instant> refilledAt;
};

}
