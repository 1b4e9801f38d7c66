#pragma once

#include "ports/Fleet.h"
#include "ports/Ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace teaselfold {

/** One key=value pair of a log line. */
struct LogField {
    std::string key;
    std::string value;

    bool operator==(const LogField&) const = default;
};

/** One log line, printed as `event=<name> key=value ...`. */
struct LogEvent {
    std::string name;
    std::vector<LogField> fields;

    bool operator==(const LogEvent&) const = default;
};

/** Histograms and counters. Durations are observed in milliseconds, lengths in tokens. */
enum class Metric : std::uint8_t {
    FirstToken,
    BetweenTokens,
    Stall,
    QueueWait,
    OutputLength,
    CallDuration,
    Preemption,
    Refusal,
    Retry,
    LinkResume,
    Completed,
    Failed,
    Cancelled,
    RateLimited,
    CallerShed,
    ResponseShed,
    OutputLengthError,
};
constexpr std::size_t metricCount = 17;

/** One observed value of a metric; 1 for counters. */
struct Observation {
    Metric metric { Metric::Completed };
    TeamId team;
    PriorityClass priority { PriorityClass::Standard };
    double value { 1 };
    /** Additional label of a counter, such as the error code of a refusal; empty when there is none. */
    std::string label;

    bool operator==(const Observation&) const = default;
};

}
