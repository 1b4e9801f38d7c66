#pragma once

#include "ports/Telemetry.h"

#include <string>
#include <vector>

namespace teaselfold::Internal {

/** Prefix of every metric name. */
constexpr std::string_view metricPrefix = "teaselfold_";

/** Appends the `# HELP` and `# TYPE` lines of a metric. */
void appendMetricHeader(std::string& text, const std::string& name, std::string_view type, std::string_view helpText);

/** Appends one sample with escaped label values. */
void appendSample(std::string& text, const std::string& name, const std::vector<LogField>& labels, double value);

/** @return the value in the Prometheus text format. */
std::string formatSampleValue(double value);

}
