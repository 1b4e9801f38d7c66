#include "adapters/engine/EngineClient.h"
#include "adapters/engine/PlainServiceClient.h"
#include "adapters/fleet/JsonDocumentCodec.h"
#include "adapters/http/AdminServer.h"
#include "adapters/link/AgentLinkServer.h"
#include "adapters/logging/GlogLog.h"
#include "adapters/metrics/TelemetryHub.h"
#include "adapters/platform/PlatformClient.h"
#include "adapters/settings/CommandLine.h"
#include "core/agent/Admission.h"
#include "core/agent/CallKeeper.h"
#include "runtime/AgentDuty.h"

#include <pthread.h>
#include <signal.h>

#include <future>
#include <random>

using namespace teaselfold;

namespace {

constexpr std::size_t platformWorkers = 4;
/** More workers than calls in progress, so that a call never waits for one. */
constexpr std::size_t spareServiceWorkers = 8;

/** Random numbers from the system. */
class SystemRandomness final : public Randomness {
public:
    std::uint64_t next() override { return (std::uint64_t { this->device() } << 32U) | this->device(); }

private:
    std::random_device device;
};

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

AdmissionLimits limitsFrom(const AgentSettings& settings)
{
    AdmissionLimits limits;
    limits.reportInterval = settings.reportInterval;
    limits.orphanGrace = settings.graceTime;
    limits.acknowledgedGrace = settings.graceTime;
    limits.engineSilence = settings.engineTimeout;
    limits.flowWindow = settings.flowWindow;
    limits.queueCapacity = settings.queueCapacity;
    limits.queueCapacityPerTeam = std::max<std::size_t>(1, settings.queueCapacity / 2);
    return limits;
}

std::unique_ptr<AgentDecisions> decisionsFor(
    const AgentSettings& settings, Incarnation incarnation, Randomness& randomness)
{
    const AdmissionLimits limits = limitsFrom(settings);
    if (settings.engine) {
        AdmissionBuilder builder;
        builder.withEndpoint(settings.endpoint).withZone(settings.zone).withIncarnation(incarnation);
        return std::make_unique<Admission>(builder.withRandomness(randomness).withLimits(limits).build());
    }
    CallKeeperBuilder builder;
    builder.withEndpoint(settings.endpoint).withZone(settings.zone).withIncarnation(incarnation);
    return std::make_unique<CallKeeper>(builder.withRandomness(randomness).withLimits(limits).build());
}

/** All threads of an agent, wired together. */
class AgentProcess {
public:
    explicit AgentProcess(const AgentSettings& settings);
    /** @return false when a port cannot be bound. */
    bool start();
    /** Begins a planned stop. Idempotent. */
    void requestStop() { this->duty.ring().push(AgentStopRequested {}); }
    /** Waits until nothing is in progress, then ends all threads. */
    void finish();

private:
    void logEvent(const std::string& name) { this->telemetry->log(LogEvent { name, {} }); }

    AgentSettings settings;
    SystemRandomness randomness;
    Incarnation incarnation { this->randomness.next() };
    std::unique_ptr<TelemetryHub> telemetry { TelemetryHubBuilder().withLogSink(writeLog).build() };
    JsonDocumentCodec codec;
    AgentDuty duty;
    std::unique_ptr<PlatformClient> platform;
    std::unique_ptr<EngineClient> engine;
    std::unique_ptr<PlainServiceClient> service;
    std::unique_ptr<AgentLinkServer> links;
    std::unique_ptr<AgentAdminServer> admin;
    std::promise<void> drained;
};

AgentProcess::AgentProcess(const AgentSettings& given)
    : settings(given)
    , duty(decisionsFor(given, this->incarnation, this->randomness))
{
    Ring<AgentEvent>& ring = this->duty.ring();
    this->platform = PlatformClientBuilder()
                         .withAddress(given.platform)
                         .withTimeout(given.platformTimeout)
                         .withWorkers(platformWorkers)
                         .withSink([&ring](const PlatformReply& reply) { ring.push(FromPlatform { reply }); })
                         .build();
    this->links = AgentLinkServerBuilder()
                      .withAddress(given.link)
                      .withEndpoint(given.endpoint)
                      .withIncarnation(this->incarnation)
                      .withAdmissionRing(ring)
                      .withCallRing(ring)
                      .withCodec(this->codec)
                      .withTelemetry(*this->telemetry)
                      .withIdleLimit(given.linkIdleLimit)
                      .build();
    const ProbeSources probes { [this] { return this->duty.isReady(); },
        [this] { return this->telemetry->renderPrometheus(); } };
    this->admin = std::make_unique<AgentAdminServer>(given.admin, probes);
}

bool AgentProcess::start()
{
    Ring<AgentEvent>& ring = this->duty.ring();
    this->telemetry->start();
    if (this->settings.engine)
        this->engine = EngineClientBuilder()
                           .withAddress(*this->settings.engine)
                           .withTimeout(this->settings.engineTimeout)
                           .withPollInterval(this->settings.enginePoll)
                           .withStreams(this->settings.engineStreams)
                           .withSink([&ring](const EngineEvent& event) { ring.push(FromEngine { event }); })
                           .build();
    if (this->settings.service)
        this->service = PlainServiceClientBuilder()
                            .withAddress(*this->settings.service)
                            .withWorkers(AdmissionLimits().concurrentCalls + spareServiceWorkers)
                            .withSink([&ring](const ServiceEvent& event) { ring.push(FromService { event }); })
                            .build();
    this->duty.start(AgentPeers { *this->links, *this->platform, *this->telemetry, this->engine.get(),
        this->service.get(), [this] { this->drained.set_value(); } });
    if (!this->links->start() || this->admin->start()) {
        this->logEvent("port_unavailable");
        return false;
    }
    this->logEvent("agent_started");
    return true;
}

void AgentProcess::finish()
{
    this->drained.get_future().wait();
    this->logEvent("agent_stopped");
    this->admin->stop();
    this->links->stop();
    if (this->engine)
        this->engine->stop();
    if (this->service)
        this->service->stop();
    this->platform->stop();
    this->duty.stop();
    this->telemetry->stop();
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
    const ProgramName program { "teaselfold-agent", TEASELFOLD_VERSION };
    const auto read = readAgentCommandLine(program, std::vector<std::string>(argv + 1, argv + argc));
    if (const auto* exit = std::get_if<ProcessExit>(&read))
        return finishProcess(*exit);
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
