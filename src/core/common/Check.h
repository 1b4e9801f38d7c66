#pragma once

#include <cstdio>
#include <cstdlib>

namespace teaselfold {

/**
 * Stops the process when an invariant of the code itself is broken. Never used for input: a caller's, an operator's
 * or a peer's fault is a Failure value.
 * @param holds the invariant.
 * @param what the invariant in words, for the last log line.
 */
inline void internalCheck(bool condition, const char* invariant)
{
    if (condition)
        return;
    std::fprintf(stderr, "event=internal_error invariant=\"%s\"\n", invariant);
    std::abort();
}

}
