#pragma once

#include "ports/ControlPorts.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace teaselfold {

/** A note parsed from an operator's text. */
struct ParsedNote {
    ReleaseNote note;
    /** Line of each key path in the text, counted from 1, for problems that later checks find. */
    std::map<std::string, std::uint32_t> lines;
};

/**
 * Parses a note from YAML or JSON.
 * @return the note, or every problem of syntax and structure with its key path and line.
 */
std::variant<ParsedNote, std::vector<NoteProblem>> parseReleaseNote(const std::string& text);

/**
 * Fills in the line of each problem that has none.
 * @param problems the problems that a check of the note found.
 * @param lines the lines of the parsed note. A key path that is not in the text gets the line of the nearest enclosing
 * path.
 */
void addLineNumbers(std::vector<NoteProblem>& problems, const std::map<std::string, std::uint32_t>& lines);

}
