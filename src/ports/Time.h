#pragma once

#include <chrono>

namespace teaselfold {

/** A time on the monotonic clock of one process. Never sent to another process: messages carry durations. */
using Instant = std::chrono::steady_clock::time_point;

/** A duration at the resolution of the monotonic clock. */
using Duration = std::chrono::steady_clock::duration;

using Milliseconds = std::chrono::milliseconds;
/** A wall-clock time, for display and records only; no decision depends on it. */
using WallTime = std::chrono::sys_time<Milliseconds>;
using Microseconds = std::chrono::microseconds;
using Seconds = std::chrono::seconds;

}
