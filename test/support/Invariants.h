#pragma once

#include "support/Transcript.h"

#include <string>
#include <vector>

namespace teaselfold::testing {

/** A violated invariant and the transcript line that violated it. */
struct Violation {
    std::string invariant;
    std::string line;
};

/**
 * Checks the invariants of the system over a transcript:
 * - a caller gets each token once, in order and from one generation;
 * - no call runs twice under one idempotency key, and nothing refused as "not run" runs;
 * - `propagationTimeout` after an order or a leaving notice its subject gets no new work;
 * - the version in force never decreases, and an accepted note is in force at all reachable entries;
 * - the complete answer goes to the caller of the request and to no other caller;
 * - a cold engine gets no more work than its capacity;
 * - no process is drained while it has work in progress.
 * @return the violations in the order of the transcript.
 */
std::vector<Violation> findViolations(const Transcript& transcript);

/** Longest time that an order, a leaving notice or a release note may take to be in force at each entry. */
constexpr Milliseconds propagationTimeout { 5000 };

}
