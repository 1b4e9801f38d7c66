#pragma once

#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace teaselfold {

/** The same figures of several runs under one name, such as the seeds of one policy. */
struct ComparedRuns {
    std::string name;
    /** Values of each figure, one for each run. */
    std::map<std::string, std::vector<double>> figures;
};

/**
 * Reads JSON reports of the load tool.
 * @param text `name=file[,file...]`.
 * @param group the object of the report whose figures are taken, such as `all` or `elsewhere`.
 * @return the figures, or nothing when the text names no file or a file holds no such report.
 */
std::optional<ComparedRuns> readComparedRuns(const std::string& text, const std::string& group);

/**
 * Writes minimum, median and maximum of each figure side by side, and the ratio of each median to that of the first
 * runs where that is not zero.
 */
void writeComparison(std::ostream& out, const std::vector<ComparedRuns>& compared);

/** @return the median; the mean of the middle two of an even number. @param values never empty. */
double medianOf(std::vector<double> values);

}
