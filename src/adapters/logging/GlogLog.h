#pragma once

#include "ports/Telemetry.h"

#include <string>

namespace teaselfold {

/** Makes glog write to standard error. Call once, before the first event. @param program the program name, argv[0]. */
void startLogging(const std::string& program);

/** @return the line `event=<name> key=value ...`. Values are quoted and escaped as needed to keep it on one line. */
std::string formatLogLine(const LogEvent& event);

/** Writes the event as one line. Safe to call from any thread. */
void writeLog(const LogEvent& event);

}
