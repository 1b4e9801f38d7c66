#pragma once

#include "ports/Fleet.h"
#include "ports/Outcome.h"

#include <string>
#include <variant>
#include <vector>

namespace teaselfold::Ctl {

/** Exit codes, as `--help` lists them. */
enum class ExitCode : std::uint8_t {
    Done = 0,
    Usage = 1,
    Rejected = 2,
    Conflict = 3,
    Unavailable = 4,
    Denied = 5,
    TimedOut = 6,
};

/** Parsed command line. */
struct Options {
    std::string command;
    std::vector<std::string> arguments;
    std::vector<Address> entries;
    std::string token;
    std::string author;
    std::string reason;
    bool json { false };
    bool dryRun { false };
    /** Timeout of `wait`. */
    Milliseconds waitTimeout { 30000 };
    /** Polling interval of `wait` and `top`. */
    Milliseconds interval { 1000 };
    /** Number of refreshes after which `top` exits; zero for no limit. */
    std::uint32_t count { 0 };
};

/** Text and exit code of a run that ends without a command, such as `--help` or a usage error. */
struct EarlyExit {
    std::string text;
    ExitCode code { ExitCode::Done };
};

/** Parses the command line. @return the options, or the text to print when there is no command to run. */
std::variant<Options, EarlyExit> parseOptions(int argc, const char* const* argv);

}
