#pragma once

#include "adapters/logging/LineWriter.h"
#include "ports/LogOutput.h"

#include <string>

namespace teaselfold {

/** Prepares glog. Call once, before the first event. @param program the program name, argv[0]. */
void startLogging(const std::string& program);

/** @return the line `event=<name> key=value ...`. Values are quoted and escaped as needed to keep it on one line. */
std::string formatLogLine(const LogEvent& event);

/** Writes each event as one line to standard output. Used by one thread at a time. */
class GlogLog final : public LogOutput {
public:
    GlogLog();

    bool write(const LogEvent& event) override;
    void limitWaits(Instant until) override { this->lines.limitWaits(until); }

private:
    LineWriter lines;
};

}
