#pragma once

#include "ports/Telemetry.h"

namespace teaselfold {

/** Writes one key=value line to standard error. */
void logLine(const LogEvent& event);

}
