#pragma once

#include "ports/Telemetry.h"

#include <string>

namespace teaselfold {

/** Sends glog to standard error. Once in a process, before the first event. @param program as in argv[0]. */
void startLogging(const std::string& program);

/** @return the line `event=<name> key=value ...`; values are quoted and escaped where needed, so it is one line. */
std::string formatLogLine(const LogEvent& event);

/** Writes one line. Safe to call from any thread. */
void writeLog(const LogEvent& event);

}
