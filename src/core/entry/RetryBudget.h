#pragma once

#include "core/entry/RouterLimits.h"

#include <optional>

namespace teaselfold {

/** Keeps retries to a share of the traffic, so that retries cannot multiply an overload. */
class RetryBudget {
public:
    explicit RetryBudget(const RouterLimits& limits);
    /** Counts a new request. */
    void deposit();
    /** Changes the retries that are allowed in each floor time. What was saved up beyond it is lost. */
    void setMinRetries(double retries);
    /** Takes one retry. @return false when the budget is spent. */
    bool withdraw(Instant now);

private:
    void refill(Instant now);

    RouterLimits limits;
    double available;
    std::optional<Instant> refilledAt;
};

}
