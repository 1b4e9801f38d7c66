#include "adapters/fleet/JsonDocumentCodec.h"
#include "adapters/http/AdminServer.h"
#include "adapters/http/CallerServer.h"
#include "adapters/link/EntryLinkClient.h"
#include "adapters/logging/GlogLog.h"
#include "adapters/metrics/LinkTrafficGauges.h"
#include "adapters/metrics/TelemetryHub.h"
#include "adapters/platform/PlatformClient.h"
#include "adapters/settings/CommandLine.h"
#include "core/control/ConfigurationController.h"
#include "runtime/ControlDuty.h"
#include "runtime/FreedMemory.h"
#include "runtime/RouterDuty.h"
#include "runtime/SystemRandomness.h"

#include <csignal>
#include <future>

using namespace teaselfold;

namespace {

/** Blocks the stop signals in this thread and in the threads it creates; waitForStop receives them. */
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/** Waits for the first stop signal. Later ones stay blocked, so that they do not interrupt the drain. */
void waitForStop(const sigset_t& signals)
{
    int received = 0;
    sigwait(&signals, &received);
}

RouterLimits routerLimits(const EntrySettings& settings)
{
    RouterLimits limits;
    limits.linksPerService = settings.linksPerService;
    limits.silenceLimit = settings.silentLinkLimit;
    limits.heartbeatPeriod = settings.heartbeat;
    limits.defaultBudget = settings.defaultDeadline;
    return limits;
}

CallerLimits callerLimits(const EntrySettings& settings)
{
    CallerLimits limits;
    limits.threads = settings.callerThreads;
    limits.maxBodyBytes = settings.maxBodyBytes;
    constexpr std::size_t bytesPerMegabyte = 1024UL * 1024UL;
    limits.bodyMemoryBytes = settings.bodyMemoryMb * bytesPerMegabyte;
    limits.defaultDeadline = settings.defaultDeadline;
    limits.maxDeadline = settings.maxDeadline;
    limits.receiveTimeout = settings.callerIdleLimit;
    return limits;
}

AdminServerOptions adminOptions(const EntrySettings& settings)
{
    AdminServerOptions options;
    options.listen = settings.admin;
    options.requireTokens = settings.adminTokensRequired;
    for (const auto& token : settings.adminTokens) {
        auto& added = options.tokens.emplace_back();
        added.name = token.author;
        added.role = static_cast<decltype(added.role)>(token.role);
        added.sha256 = token.sha256;
    }
    return options;
}

/**
 * Owns all components of an entry. The order of the members does not ensure that users are destroyed first: router,
 * control and telemetry use members declared after them. Therefore run calls stopAll before it returns.
 */
class EntryProcess {
public:
    explicit EntryProcess(const EntrySettings& settings);

    /** Serves until a stop signal arrives and the drain completes. @return the failure when a port cannot be bound. */
    std::optional<Failure> run(const sigset_t& signals);

private:
    std::unique_ptr<Router> buildRouter(const EntrySettings& settings);
    ConfigurationController buildControl(const EntrySettings& settings);
    bool isReady() const { return this->control.isReady() && this->router.isReady(); }
    void startDuties();
    void stopAll();

    JsonDocumentCodec codec;
    SystemRandomness routerRandomness;
    SystemRandomness controlRandomness;
    std::unique_ptr<TelemetryHub> telemetry;
    RouterDuty router;
    ControlDuty control;
    CallerRegistry registry;
    TeamDirectory teams;
    std::unique_ptr<EntryLinkClient> links;
    LinkTrafficGauges traffic { [this] { return this->links->traffic(); } };
    std::unique_ptr<PlatformClient> platform;
    AdminServer admin;
    std::unique_ptr<CallerServer> callers;
    std::promise<void> drained;
};

EntryProcess::EntryProcess(const EntrySettings& settings)
    : telemetry(TelemetryHubBuilder().withLogOutput(std::make_unique<GlogLog>()).build())
    , router(this->buildRouter(settings))
    , control(this->buildControl(settings))
    , admin(adminOptions(settings), this->control.ring(),
          { [this] { return this->isReady(); }, [this] { return this->telemetry->renderPrometheus(); } })
{
    this->links = EntryLinkClientBuilder()
                      .withSelf(settings.instance)
                      .withRouterRing(this->router.ring())
                      .withCodec(this->codec)
                      .withTelemetry(*this->telemetry)
                      .build();
    this->telemetry->addGaugeSource(this->traffic);
    this->platform = PlatformClientBuilder()
                         .withAddress(settings.platform)
                         .withTimeout(settings.platformTimeout)
                         .withSink([this](const PlatformReply& reply) {
                             this->control.ring().push(ControlPlatformReply { reply });
                         })
                         .build();
    this->callers
        = CallerServerBuilder()
              .withAddress(settings.callers)
              .withLimits(callerLimits(settings))
              .build({ this->router.ring(), this->registry, this->teams, [this] { return this->isReady(); } });
}

std::unique_ptr<Router> EntryProcess::buildRouter(const EntrySettings& settings)
{
    return RouterBuilder()
        .withSelf(settings.instance)
        .withZone(settings.zone)
        .withRandomness(this->routerRandomness)
        .withLimits(routerLimits(settings))
        .withSeedAgents(settings.seedAgents)
        .build();
}

ConfigurationController EntryProcess::buildControl(const EntrySettings& settings)
{
    return ConfigurationControllerBuilder()
        .withEntry(settings.instance)
        .withCodec(this->codec)
        .withRandomness(this->controlRandomness)
        .build();
}

void EntryProcess::startDuties()
{
    this->telemetry->start();
    this->links->start();
    this->router.start({ *this->links, this->registry, *this->telemetry, this->control.ring(),
        [this](const Fleet& fleet) { this->teams.update(fleet); }, [this] { this->drained.set_value(); } });
    this->control.start({ *this->platform, this->router.ring(), this->admin, *this->telemetry });
}

std::optional<Failure> EntryProcess::run(const sigset_t& signals)
{
    this->startDuties();
    std::optional<Failure> failure = this->admin.start();
    if (!failure)
        failure = this->callers->start();
    if (failure)
        this->telemetry->log({ "start_failed", { { "reason", failure->message } } });
    else {
        waitForStop(signals);
        this->router.ring().push(RouterStopRequested {});
        this->drained.get_future().wait();
    }
    this->stopAll();
    return failure;
}

void EntryProcess::stopAll()
{
    this->callers->stop();
    this->admin.stop();
    this->platform->stop();
    this->control.stop();
    this->router.stop();
    this->links->stop();
    this->telemetry->stop();
}

}

int main(int argc, char** argv)
{
    returnFreedMemory();
    const sigset_t signals = blockStopSignals();
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto parsed = readEntryCommandLine({ "teaselfold-entry", TEASELFOLD_VERSION }, arguments);
    if (const auto* exit = std::get_if<ProcessExit>(&parsed))
        return reportProcessExit(*exit);
    startLogging(argv[0]);
    EntryProcess process(std::get<EntrySettings>(parsed));
    const auto failure = process.run(signals);
    return static_cast<int>(failure ? ExitCode::Failed : ExitCode::Done);
}
