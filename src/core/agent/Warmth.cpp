#include "core/agent/Warmth.h"

#include <algorithm>
#include <limits>

namespace teaselfold {

namespace {

    constexpr std::uint32_t warmCredit = 8;
    constexpr std::uint32_t tokensPerCredit = 512;
    /** Credit that can be earned before the shortest warming time is over. */
    constexpr std::uint32_t earlyCredit = 2;
    constexpr Seconds shortestWarming { 10 };

}

void Warmth::add(std::uint32_t earned, Instant now)
{
    if (!this->firstWork)
        this->firstWork = now;
    const bool early = now - *this->firstWork < shortestWarming;
    const std::uint32_t limit = early ? earlyCredit : warmCredit;
    this->credit = std::max(this->credit, std::min(this->credit + earned, limit));
}

void Warmth::finishedOne(Instant now)
{
    if (this->cold())
        this->add(1, now);
}

void Warmth::generated(std::uint32_t tokens, Instant now)
{
    if (!this->cold())
        return;
    this->looseTokens += tokens;
    this->add(this->looseTokens / tokensPerCredit, now);
    this->looseTokens %= tokensPerCredit;
}

void Warmth::turnCold()
{
    this->credit = 0;
    this->firstWork.reset();
    this->looseTokens = 0;
}

bool Warmth::cold() const { return this->credit < warmCredit; }

std::uint32_t Warmth::allowance() const
{
    return this->cold() ? 1 + this->credit : std::numeric_limits<std::uint32_t>::max();
}

}
