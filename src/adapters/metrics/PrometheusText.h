#pragma once

#include "ports/Telemetry.h"

#include <string>
#include <vector>

namespace teaselfold::Internal {

/** Prefix of every metric's name. */
constexpr std::string_view metricPrefix = "teaselfold_";

/** Appends the `# HELP` and `# TYPE` lines of a metric. */
void appendMetricHeader(
    std::string& text, const std::string& name, std::string_view type, std::string_view documentation);

/** Appends one sample; label values are escaped. */
void appendSample(std::string& text, const std::string& name, const std::vector<LogField>& labels, double value);

/** @return a value in the form that collectors read. */
std::string sampleValue(double value);

}
