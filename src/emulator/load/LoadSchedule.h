#pragma once

#include "ports/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace teaselfold {

/** An HTTP call made at a time of the run, such as a zone taken out or a fault given to a stand-in. */
struct ScheduledCall {
    /** Time from the start of the run. */
    Duration at { 0 };
    std::string method;
    std::string url;
    std::string body;
    bool operator==(const ScheduledCall&) const = default;
};

/** @return the duration of a text such as `250ms`, `5s` or `2m`; nothing when it is none. */
std::optional<Duration> parseDuration(const std::string& text);

/** @return the call in a line `<time> <method> <url> [<body>]`; nothing when it is none. */
std::optional<ScheduledCall> parseScheduledCall(const std::string& line);

/**
 * Makes a call and waits for its answer.
 * @return the status and body; status 0 when there was no answer.
 */
struct HttpCallResult {
    int status { 0 };
    std::string body;
};
HttpCallResult callHttp(const ScheduledCall& call, Milliseconds timeout);

}
