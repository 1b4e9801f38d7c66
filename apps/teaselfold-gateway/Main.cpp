#include "adapters/logging/GlogLog.h"
#include "adapters/metrics/TelemetryHub.h"
#include "adapters/peers/PeerChannel.h"
#include "adapters/settings/CommandLine.h"
#include "adapters/traffic/TrafficServer.h"
#include "platform/PlatformTrafficCodec.h"
#include "platform/RolloutDuty.h"
#include "platform/StoreReader.h"
#include "runtime/BootClock.h"
#include "runtime/FreedMemory.h"
#include "runtime/SystemRandomness.h"

#include <csignal>
#include <future>

using namespace teaselfold;

namespace {

/** The signals that the process waits for instead of being interrupted. */
struct HandledSignals {
    sigset_t stop;
    sigset_t all;
};

HandledSignals blockHandledSignals()
{
    HandledSignals signals;
    sigemptyset(&signals.stop);
    sigaddset(&signals.stop, SIGTERM);
    sigaddset(&signals.stop, SIGINT);
    signals.all = signals.stop;
    sigaddset(&signals.all, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals.all, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/** @return the signal that is pending or arrives within the time; -1 if there is none. */
int waitForSignal(const sigset_t& signals, Seconds time)
{
    const timespec timeout { time.count(), 0 };
    return sigtimedwait(&signals, nullptr, &timeout);
}

/** Interval at which the settings file is checked for changes without a SIGHUP. */
constexpr Seconds settingsCheckInterval(2);

TrafficOptions trafficOptions(const GatewaySettings& settings)
{
    TrafficOptions options;
    options.callers = settings.callers;
    options.readiness = settings.readiness;
    options.metrics = settings.metrics;
    options.connectTimeout = settings.connectTimeout;
    options.maxConnections = maxTrafficConnections(settings);
    options.callerLimits = callerBudgetLimits(settings);
    return options;
}

/** Reads the command line and the settings file in the same way as at startup. */
using SettingsReader = std::function<std::variant<GatewaySettings, ProcessExit>()>;

/**
 * Owns all components of a gateway. Members are declared after those they use, so that users are destroyed first. The
 * exceptions are peers, store and rollouts, whose sinks use traffic: on a normal stop, run stops them before traffic.
 */
class GatewayProcess {
public:
    /** @param readSettings reads the settings again when they are reloaded. */
    GatewayProcess(const GatewaySettings& settings, SettingsReader readSettings);

    /** Serves until a stop signal arrives and the drain completes. @return the failure when a port cannot be bound. */
    std::optional<Failure> run(const HandledSignals& signals);

private:
    /**
     * Waits for the first stop signal; until then reloads the settings on SIGHUP and at a fixed interval.
     * @return when it arrived; the beginning of the reload during which it arrived, if any.
     */
    Instant waitForStop(const HandledSignals& signals);
    /** Binds the ports. @return the failure when one cannot be bound. */
    std::optional<Failure> bindPorts();
    /** Serves until a stop signal arrives and the drain completes. */
    void serveUntilStop(const HandledSignals& signals);
    /** @param requested true after a SIGHUP: invalid settings are logged and unchanged ones applied again. */
    void reloadSettings(bool requested);

    GatewaySettings settings;
    SettingsReader readSettings;
    SystemRandomness randomness;
    PlatformTrafficCodec codec;
    std::unique_ptr<TelemetryHub> telemetry;
    Gateway gateway;
    std::promise<void> stopped;
    std::promise<void> written;
    PeerChannel peers;
    PlatformStore store;
    RolloutDuty rollouts;
    std::unique_ptr<TrafficServer> traffic;
};

GatewayProcess::GatewayProcess(const GatewaySettings& gatewaySettings, SettingsReader settingsReader)
    : settings(gatewaySettings)
    , readSettings(std::move(settingsReader))
    , telemetry(TelemetryHubBuilder().withLogOutput(std::make_unique<GlogLog>()).build())
    , gateway(
          gatewayLimits(this->settings), { GatewayId(this->settings.instance), this->settings.zone }, this->randomness)
    , peers(this->settings.peers, [this](GatewayEvent event) { this->traffic->ring().tryPush(std::move(event)); })
    , store(
          { this->settings.store, this->settings.storeTimeout },
          { GatewayId(this->settings.instance), this->settings.peers, this->settings.zone },
          [this](GatewayEvent event) { this->traffic->ring().push(std::move(event)); }, &bootTimeNow)
    , rollouts(this->settings.store, this->settings.storeTimeout,
          [this](GatewayEvent event) { this->traffic->ring().push(std::move(event)); })
    , traffic(std::make_unique<TrafficServer>(trafficOptions(this->settings),
          TrafficServer::Dependencies { this->gateway, this->codec, *this->telemetry, this->peers, this->store,
              this->rollouts, [this] { return this->telemetry->renderPrometheus(); }, &bootTimeNow,
              [this] { this->stopped.set_value(); }, [this] { this->written.set_value(); } }))
{
}

Instant GatewayProcess::waitForStop(const HandledSignals& signals)
{
    while (true) {
        const int signal = waitForSignal(signals.all, settingsCheckInterval);
        const Instant receivedAt = bootTimeNow();
        if (signal == SIGTERM || signal == SIGINT)
            return receivedAt;
        this->reloadSettings(signal == SIGHUP);
        // A stop signal that arrived during the reload counts from the reload's beginning.
        if (waitForSignal(signals.stop, Seconds(0)) > 0)
            return receivedAt;
    }
}

void GatewayProcess::reloadSettings(bool requested)
{
    const auto parsed = this->readSettings();
    const auto* changed = std::get_if<GatewaySettings>(&parsed);
    if (!changed) {
        if (requested)
            this->telemetry->log(
                { "reload", { { "outcome", "refused" }, { "reason", std::get<ProcessExit>(parsed).errors } } });
        return;
    }
    if (!requested && *changed == this->settings)
        return;
    this->settings = *changed;
    this->traffic->ring().push(LimitsChanged { gatewayLimits(this->settings) });
}

std::optional<Failure> GatewayProcess::bindPorts()
{
    if (auto failure = this->traffic->start())
        return failure;
    if (const auto reason = this->peers.start())
        return Failure { ErrorCode::Internal, "cannot listen for peers: " + *reason, Executed::No, {} };
    return std::nullopt;
}

void GatewayProcess::serveUntilStop(const HandledSignals& signals)
{
    this->store.start();
    this->traffic->ring().push(GatewayStopRequested { this->waitForStop(signals) });
    this->stopped.get_future().wait();
    this->rollouts.stop();
    this->store.stop();
    this->peers.stop();
    this->written.get_future().wait();
    this->traffic->stop();
    this->telemetry->log({ "stopped", { { "instance", this->settings.instance } } });
}

std::optional<Failure> GatewayProcess::run(const HandledSignals& signals)
{
    this->telemetry->start();
    this->telemetry->log(
        { "started", { { "instance", this->settings.instance }, { "zone", this->settings.zone.get() } } });
    auto failure = this->bindPorts();
    if (failure)
        this->telemetry->log({ "start_failed", { { "reason", failure->message } } });
    else
        this->serveUntilStop(signals);
    this->telemetry->stop();
    return failure;
}

}

int main(int argc, char** argv)
{
    returnFreedMemory();
    const HandledSignals signals = blockHandledSignals();
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto parsed = readGatewayCommandLine({ "teaselfold-gateway", TEASELFOLD_VERSION }, arguments);
    if (const auto* exit = std::get_if<ProcessExit>(&parsed))
        return reportProcessExit(*exit);
    startLogging(argv[0]);
    GatewayProcess process(*std::get_if<GatewaySettings>(&parsed), [&] {
        return readGatewayCommandLine({ "teaselfold-gateway", TEASELFOLD_VERSION }, arguments);
    });
    const auto failure = process.run(signals);
    return static_cast<int>(failure ? ExitCode::Failed : ExitCode::Done);
}
