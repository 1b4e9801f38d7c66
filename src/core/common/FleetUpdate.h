#pragma once

#include "ports/ControlPorts.h"
#include "ports/Fleet.h"

#include <string>
#include <vector>

namespace teaselfold {

/** The strategy names that a note may use in a service. An empty list allows every name. */
struct StrategyNames {
    std::vector<std::string> routing;
    std::vector<std::string> admission;
};

/**
 * Validates a note against the fleet that it edits. The note's base version is not checked.
 * @param fleet the fleet in force.
 * @param note the note to validate.
 * @param strategies the strategy names that this build supports.
 * @return every problem with its place in the note; empty when the note can be applied.
 */
std::vector<NoteProblem> checkNote(
    const Fleet& fleet, const ReleaseNote& note, const StrategyNames& strategies = StrategyNames {});

/**
 * Applies a note in which `checkNote` found no problems.
 * @return the fleet after the note, with version `note.base + 1`.
 */
Fleet applyNote(const Fleet& fleet, const ReleaseNote& note);

/**
 * Tells numeric addresses from host names. Of an IPv6 address, only the characters and the number of colons are
 * checked.
 * @return whether the text is a numeric IPv4 or IPv6 address.
 */
bool isIpAddress(const std::string& host);

}
