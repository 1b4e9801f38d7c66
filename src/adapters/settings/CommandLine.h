#pragma once

#include "adapters/settings/AgentSettings.h"
#include "adapters/settings/EntrySettings.h"
#include "adapters/settings/GatewaySettings.h"

#include <string>
#include <variant>
#include <vector>

namespace teaselfold {

/** Exit codes of the servers, listed in `--help`. */
enum class ExitCode : std::uint8_t {
    Done = 0,
    Failed = 1,
    BadUsage = 2,
    BadSettings = 3,
};

/** Exit of the process before it serves requests, after `--help`, `--version`, `--check`, `--print-settings` or an
 * error. */
struct ProcessExit {
    ExitCode code { ExitCode::Done };
    /** Text for standard output. */
    std::string output;
    /** Text for standard error. */
    std::string errors;
};

struct ProgramInfo {
    std::string name;
    std::string version;
};

/** Reads an entry's command line and settings file. @param arguments the command line without argv[0]. */
std::variant<EntrySettings, ProcessExit> readEntryCommandLine(
    const ProgramInfo& program, const std::vector<std::string>& arguments);

/** Reads an agent's command line and settings file. @param arguments the command line without argv[0]. */
std::variant<AgentSettings, ProcessExit> readAgentCommandLine(
    const ProgramInfo& program, const std::vector<std::string>& arguments);

/** Reads a gateway's command line and settings file. @param arguments the command line without argv[0]. */
std::variant<GatewaySettings, ProcessExit> readGatewayCommandLine(
    const ProgramInfo& program, const std::vector<std::string>& arguments);

/** Prints the texts to standard output and standard error. @return the exit status of the process. */
int reportProcessExit(const ProcessExit& exit);

}
