#include "AgentProcess.h"
#include "adapters/logging/GlogLog.h"
#include "adapters/settings/CommandLine.h"

#include <pthread.h>
#include <signal.h>

#include <thread>

using namespace teaselfold;

namespace {

/** Blocks SIGTERM and SIGINT in this thread and all that it starts. @return the set of both. */
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

/** Turns stop signals into a planned stop, however often they come. */
void awaitSignals(const sigset_t& signals, AgentProcess& process)
{
    int signal = 0;
    while (sigwait(&signals, &signal) == 0 && signal != SIGUSR1)
        process.requestStop();
}

}

int main(int argc, char** argv)
{
    sigset_t signals = blockStopSignals();
    const ProgramInfo program { "teaselfold-agent", TEASELFOLD_VERSION };
    const auto read = readAgentCommandLine(program, std::vector<std::string>(argv + 1, argv + argc));
    if (const auto* exit = std::get_if<ProcessExit>(&read))
        return reportProcessExit(*exit);
    startLogging(argv[0]);
    AgentProcess process(std::get<AgentSettings>(read));
    if (!process.start())
        return static_cast<int>(ExitCode::Failed);
    sigaddset(&signals, SIGUSR1);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::thread signalThread([&] { awaitSignals(signals, process); });
    process.finish();
    pthread_kill(signalThread.native_handle(), SIGUSR1);
    signalThread.join();
    return static_cast<int>(ExitCode::Done);
}
