#pragma once

#include "ports/ControlPorts.h"
#include "ports/Fleet.h"

#include <string>
#include <vector>

namespace teaselfold {

/** Names that a note may give to the strategies of a service. An empty list allows every name. */
struct StrategyNames {
    std::vector<std::string> routing;
    std::vector<std::string> admission;
};

/**
 * Checks a note against the fleet that it edits. Does not look at the note's base.
 * @param fleet the fleet in force.
 * @param note the note to check.
 * @param strategies the strategy names that this build knows.
 * @return every fault with its place in the note; empty when the note can be applied.
 */
std::vector<NoteProblem> checkNote(
    const Fleet& fleet, const ReleaseNote& note, const StrategyNames& strategies = StrategyNames {});

/**
 * Applies a note that checkNote has passed.
 * @return the fleet after the note, with version `note.base + 1`.
 */
Fleet applyNote(const Fleet& fleet, const ReleaseNote& note);

/** @return whether a text is an IPv4 or IPv6 number and no host name. */
bool isIpAddress(const std::string& host);

}
