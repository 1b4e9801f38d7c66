#pragma once

#include "ports/Telemetry.h"

namespace teaselfold {

/** Writes an event to standard error as one line of key=value pairs. */
void logLine(const LogEvent& event);

}
