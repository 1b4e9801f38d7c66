#include "emulator/host/LogLine.h"

#include <cstdio>

namespace teaselfold {

void logLine(const LogEvent& event)
{
    std::string line = "event=" + event.name;
    for (const LogField& field : event.fields) {
        const bool quoted = field.value.empty() || field.value.find_first_of(" =\"") != std::string::npos;
        const std::string quote = quoted ? "\"" : "";
        line += " " + field.key + "=" + quote + field.value + quote;
    }
    line += "\n";
    std::fputs(line.c_str(), stderr);
}

}
