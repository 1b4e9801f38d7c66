#include "AgentProcess.h"
#include "adapters/logging/GlogLog.h"
#include "adapters/settings/CommandLine.h"
#include "runtime/FreedMemory.h"

#include <pthread.h>
#include <signal.h>

#include <thread>

using namespace teaselfold;

namespace {

/** Blocks SIGTERM and SIGINT in this thread and in the threads it creates. @return the set of both signals. */
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    return signals;
}

/** Starts a drain on SIGTERM or SIGINT; further signals have no effect. Returns on SIGUSR1. */
void awaitSignals(const sigset_t& signals, AgentProcess& process)
{
    int signal = 0;
    while (sigwait(&signals, &signal) == 0 && signal != SIGUSR1)
        process.startDrain();
}

}

int main(int argc, char** argv)
{
    returnFreedMemory();
    sigset_t signals = blockStopSignals();
    const ProgramInfo program { "teaselfold-agent", TEASELFOLD_VERSION };
    const auto parsed = readAgentCommandLine(program, std::vector<std::string>(argv + 1, argv + argc));
    if (const auto* exit = std::get_if<ProcessExit>(&parsed))
        return reportProcessExit(*exit);
    startLogging(argv[0]);
    AgentProcess process(std::get<AgentSettings>(parsed));
    if (!process.start())
        return static_cast<int>(ExitCode::Failed);
    sigaddset(&signals, SIGUSR1);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::thread signalThread([&] { awaitSignals(signals, process); });
    process.runUntilDrained();
    pthread_kill(signalThread.native_handle(), SIGUSR1);
    signalThread.join();
    return static_cast<int>(ExitCode::Done);
}
