#include "core/gateway/MoveOrder.h"

#include <tuple>

namespace teaselfold {

namespace {

    /** A run with so many remaining tokens is moved however fast it is. */
    constexpr std::uint64_t longRunTokens = 100;
    /** A run that is expected to last for less than the time left divided by this ends in time even if it is longer. */
    constexpr int lengthMargin = 2;

}

bool needsMove(const MovableRun& run, Duration timeLeft)
{
    const bool endsInTime = run.remainingTokens == 0 || run.remainingTime * lengthMargin <= timeLeft;
    return run.remainingTokens >= longRunTokens || !endsInTime;
}

bool movesBefore(const MovableRun& run, const MovableRun& other)
{
    return std::tuple(run.hasCopy, other.remainingTokens, other.investedTokens)
        < std::tuple(other.hasCopy, run.remainingTokens, run.investedTokens);
}

}
