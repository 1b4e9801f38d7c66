#pragma once

#include "ports/ControlPorts.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace teaselfold {

/** A note as an operator wrote it. */
struct ParsedNote {
    ReleaseNote note;
    /** Line of each place in the text, from 1 on, for faults that are found later. */
    std::map<std::string, std::uint32_t> lines;
};

/**
 * Reads a note from YAML or JSON.
 * @return the note, or every fault of its form with place and line.
 */
std::variant<ParsedNote, std::vector<NoteProblem>> parseReleaseNote(const std::string& text);

/**
 * Adds lines to faults that have none.
 * @param problems the faults of a check.
 * @param lines the lines of the parsed note; a place that the text does not have gets the line of what encloses it.
 */
void addLineNumbers(std::vector<NoteProblem>& problems, const std::map<std::string, std::uint32_t>& lines);

}
