#pragma once

#include "emulator/host/EmulatorHttpServer.h"
#include "emulator/host/LogLine.h"

#include <Poco/Exception.h>

#include <memory>

namespace teaselfold {

/**
 * Runs a host until SIGTERM or SIGINT.
 * @param listen the address as given on the command line.
 * @param makeHost creates the host: takes the Address and returns a std::unique_ptr to an object with start and stop.
 * @return the process's exit code: 0, 1 if the address cannot be bound, 2 if it cannot be parsed.
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
        waitForTerminationSignal();
        host->stop();
    } catch (const Poco::Exception& error) {
        logLine(LogEvent { "not_listening", { { "address", listen }, { "error", error.displayText() } } });
        return bindError;
    }
    return 0;
}

}
