#pragma once

#include "support/Transcript.h"

#include <string>
#include <vector>

namespace teaselfold::testing {

/** A promise that was broken, with the line that broke it. */
struct Violation {
    std::string invariant;
    std::string line;
};

/**
 * Reads a transcript and finds broken promises: tokens once, in order and of one generation; never two runs of a key;
 * "not run" never followed by a run; no new work, some seconds after an order or a notice, to what is out or leaving;
 * no version that falls, and an accepted one in force at all entries that can be reached; an answer, whole, only to who
 * asked; no more work than a cold engine bears; no process drained with work in progress.
 */
std::vector<Violation> findViolations(const Transcript& transcript);

/** Time after an operator's order or a leaving notice from which new work to its subject is a breach. */
constexpr Milliseconds propagationTimeout { 5000 };

}
