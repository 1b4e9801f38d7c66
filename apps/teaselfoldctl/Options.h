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

/** What the command line asks for. */
struct Options {
    std::string command;
    std::vector<std::string> arguments;
    std::vector<Address> entries;
    std::string token;
    std::string author;
    std::string reason;
    bool json { false };
    bool dryRun { false };
    /** Longest time that `wait` waits. */
    Milliseconds waitTimeout { 30000 };
    /** Time between two reads of `wait` and `top`. */
    Milliseconds interval { 1000 };
    /** Reads after which `top` ends; zero for no end. */
    std::uint32_t count { 0 };
};

/** A text to print before the program ends without a command. */
struct EndNow {
    std::string text;
    ExitCode code { ExitCode::Done };
};

/** Reads the command line. @return the options, or what to print when there is nothing to run. */
std::variant<Options, EndNow> parseOptions(int count, const char* const* words);

}
