#pragma once

#include "ports/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace teaselfold {

/**
 * An HTTP call at a given time of the run, such as one that takes a zone out of service or injects a fault into a
 * stand-in.
 */
struct ScheduledCall {
    /** Time from the start of the run. */
    Duration at { 0 };
    std::string method;
    std::string url;
    std::string body;
    bool operator==(const ScheduledCall&) const = default;
};

/** @return the duration in a text such as `250ms`, `5s` or `2m`; nothing if the text is malformed. */
std::optional<Duration> parseDuration(const std::string& text);

/** @return the call in a line `<time> <method> <url> [<body>]`; nothing if the line is malformed. */
std::optional<ScheduledCall> parseScheduledCall(const std::string& line);

/** Status and body of an HTTP response; status 0 if there was none. */
struct HttpCallResult {
    int status { 0 };
    std::string body;
};
/** Makes a call immediately, whatever its time, and blocks until the response or the timeout. */
HttpCallResult callHttp(const ScheduledCall& call, Milliseconds timeout);

}
