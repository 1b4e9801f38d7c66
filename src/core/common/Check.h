#pragma once

#include <cstdio>
#include <cstdlib>

namespace teaselfold {

/**
 * Aborts the process when an internal invariant does not hold. Not for input validation: errors in input from callers,
 * operators and peers are reported as Failure values.
 * @param condition the invariant.
 * @param invariant the description of the invariant, printed before the abort.
 */
inline void internalCheck(bool condition, const char* invariant)
{
    if (condition)
        return;
    std::fprintf(stderr, "event=internal_error invariant=\"%s\"\n", invariant);
    std::abort();
}

}
