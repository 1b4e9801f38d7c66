#pragma once

#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace teaselfold {

/** Figures of several runs with the same name, such as runs of one policy with different seeds. */
struct ComparedRuns {
    std::string name;
    /** Values of each figure by its name; one value for each run. */
    std::map<std::string, std::vector<double>> figures;
};

/**
 * Reads JSON reports of the load tool.
 * @param text `name=file[,file...]`.
 * @param group name of the object in each report that holds the figures, such as `all` or `elsewhere`.
 * @return the figures; nothing if the text is malformed or a file is not a report with such a group.
 */
std::optional<ComparedRuns> readComparedRuns(const std::string& text, const std::string& group);

/**
 * Writes a table with the minimum, median and maximum of each figure, and the ratio of each median to the median of
 * the first column unless that is zero.
 */
void writeComparison(std::ostream& out, const std::vector<ComparedRuns>& compared);

/**
 * @param values must not be empty.
 * @return the median; for an even number of values, the mean of the middle two.
 */
double medianOf(std::vector<double> values);

}
