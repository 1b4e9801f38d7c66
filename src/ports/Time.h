#pragma once

#include <chrono>

namespace teaselfold {

/** A point on the monotonic clock of one process. Never crosses a process boundary: messages carry durations. */
using Instant = std::chrono::steady_clock::time_point;

/** A span of time at full clock resolution. */
using Duration = std::chrono::steady_clock::duration;

using Milliseconds = std::chrono::milliseconds;
/** A date, shown to operators and kept in records; no decision compares it. */
using WallTime = std::chrono::sys_time<Milliseconds>;
using Microseconds = std::chrono::microseconds;
using Seconds = std::chrono::seconds;

}
