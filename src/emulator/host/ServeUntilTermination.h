#pragma once

#include "emulator/host/LogLine.h"
#include "emulator/host/StandinServer.h"

#include <Poco/Exception.h>

#include <memory>

namespace teaselfold {

/**
 * Runs a host until SIGTERM or SIGINT.
 * @param listen the address as given on the command line.
 * @param makeHost turns the Address into a std::unique_ptr to a host with start and stop.
 * @return the process's exit code: 0, 1 when the address can't be bound, 2 when it is none.
 */
template <typename MakeHost> int serveUntilTermination(const std::string& listen, MakeHost makeHost)
{
    constexpr int bindError = 1;
    constexpr int usageError = 2;
    const auto address = parseAddress(listen);
    if (!address) {
        logLine(LogEvent { "bad_command_line", { { "listen", listen } } });
        return usageError;
    }
    try {
        const auto host = makeHost(*address);
        host->start();
        logLine(LogEvent { "listening", { { "address", listen } } });
        waitForTermination();
        host->stop();
    } catch (const Poco::Exception& error) {
        logLine(LogEvent { "not_listening", { { "address", listen }, { "error", error.displayText() } } });
        return bindError;
    }
    return 0;
}

}
