#pragma once

#include "ports/Time.h"

#include <Poco/Thread.h>

namespace teaselfold {

/** Waits until the condition holds, but not for ever. @return whether it does. */
template <typename Condition> bool becomesTrue(const Condition& condition)
{
    constexpr Seconds longestWait(10);
    const Instant end = std::chrono::steady_clock::now() + longestWait;
    while (!condition() && std::chrono::steady_clock::now() < end)
        Poco::Thread::sleep(1);
    return condition();
}

/** @return how long the function takes. */
template <typename Function> Milliseconds timeOf(const Function& function)
{
    const Instant begin = std::chrono::steady_clock::now();
    function();
    return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - begin);
}

}
