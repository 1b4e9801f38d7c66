#pragma once

#include "ports/Telemetry.h"
#include "ports/Time.h"

namespace teaselfold {

/** Port to whoever collects the log. */
class LogOutput {
public:
    virtual ~LogOutput() = default;
    /** Writes one event, and waits while the collector reads nothing. @return false if the event is lost. */
    virtual bool write(const LogEvent& event) = 0;
    /** Bounds all waits, also one in progress: events that are not written by then are lost. Callable from any thread.
     */
    virtual void limitWaits(Instant until) = 0;
};

}
