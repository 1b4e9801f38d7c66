#include "core/agent/WarmUp.h"

#include <algorithm>
#include <limits>

namespace teaselfold {

namespace {

    /** Credit at which the endpoint is warm. Each finished generation earns 1. */
    constexpr std::uint32_t warmCredit = 8;
    constexpr std::uint32_t tokensPerCredit = 512;
    /** Most credit that can be earned before the shortest warm-up time has passed. */
    constexpr std::uint32_t maxEarlyCredit = 2;
    constexpr Seconds minWarmUpTime { 10 };

}

void WarmUp::addCredit(std::uint32_t earned, Instant now)
{
    if (!this->firstWorkAt)
        this->firstWorkAt = now;
    const bool early = now - *this->firstWorkAt < minWarmUpTime;
    const std::uint32_t limit = early ? maxEarlyCredit : warmCredit;
    this->credit = std::max(this->credit, std::min(this->credit + earned, limit));
}

void WarmUp::observeFinished(Instant now)
{
    if (this->isCold())
        this->addCredit(1, now);
}

void WarmUp::observeTokens(std::uint32_t tokens, Instant now)
{
    if (!this->isCold())
        return;
    this->uncreditedTokens += tokens;
    this->addCredit(this->uncreditedTokens / tokensPerCredit, now);
    this->uncreditedTokens %= tokensPerCredit;
}

void WarmUp::reset()
{
    this->credit = 0;
    this->firstWorkAt.reset();
    this->uncreditedTokens = 0;
}

bool WarmUp::isCold() const { return this->credit < warmCredit; }

std::uint32_t WarmUp::concurrencyLimit() const
{
    return this->isCold() ? 1 + this->credit : std::numeric_limits<std::uint32_t>::max();
}

}
