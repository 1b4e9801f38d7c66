#include "core/agent/Warmth.h"

#include <limits>

namespace teaselfold {

namespace {

    constexpr std::uint32_t warmCredit = 8;
    constexpr std::uint32_t tokensPerCredit = 512;

}

void Warmth::finishedOne()
{
    if (this->cold())
        this->credit += 1;
}

void Warmth::generated(std::uint32_t tokens)
{
    if (!this->cold())
        return;
    this->looseTokens += tokens;
    this->credit += this->looseTokens / tokensPerCredit;
    this->looseTokens %= tokensPerCredit;
}

void Warmth::turnCold()
{
    this->credit = 0;
    this->looseTokens = 0;
}

bool Warmth::cold() const { return this->credit < warmCredit; }

std::uint32_t Warmth::allowance() const
{
    return this->cold() ? 1 + this->credit : std::numeric_limits<std::uint32_t>::max();
}

}
