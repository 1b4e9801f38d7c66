#include "adapters/logging/GlogLog.h"
#include "adapters/metrics/TelemetryHub.h"
#include "adapters/peers/PeerChannel.h"
#include "adapters/settings/CommandLine.h"
#include "adapters/traffic/TrafficServer.h"
#include "platform/PlatformTrafficCodec.h"
#include "platform/StoreFollower.h"
#include "runtime/BootClock.h"
#include "runtime/SystemRandomness.h"

#include <atomic>
#include <csignal>
#include <future>

using namespace teaselfold;

namespace {

sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/** How long the store may hold a call: an answer, even an empty one, proves how fresh the configuration is. */
constexpr Milliseconds freshnessHold(1000);
/** Gateways come and go rarely, and their table proves nothing. */
constexpr Milliseconds memberHold(10000);

/** How often the settings file is looked at when no signal says that it changed. */
constexpr Seconds settingsPeriod(2);

TrafficOptions trafficOptions(const GatewaySettings& settings)
{
    TrafficOptions options;
    options.callers = settings.callers;
    options.readiness = settings.readiness;
    options.metrics = settings.metrics;
    options.connectTimeout = settings.connectTimeout;
    options.stopLimit = gatewayLimits(settings).stopLimit;
    return options;
}

/** Reads the settings as at the start of the process. */
using SettingsReader = std::function<std::variant<GatewaySettings, ProcessExit>()>;

/** All parts of a gateway; members are destroyed in the reverse order of their use of each other. */
class GatewayProcess {
public:
    /** @param reread reads the settings again, as at the start. */
    GatewayProcess(const GatewaySettings& settings, SettingsReader reread);

    /** Serves until a stop signal came and its work is done. @return the reason when an address is taken. */
    std::optional<Failure> run(const sigset_t& signals);

private:
    /** Returns at the first stop signal; a changed settings file is read on a signal or without one. */
    void waitForStop(const sigset_t& signals);
    void reload(bool asked);
    std::unique_ptr<StoreFollower> follow(std::unique_ptr<TableTranslator> translator, Milliseconds hold);
    /** Passes news of the store on to the traffic duty. Called by the followers' threads. */
    void storeNews(GatewayEvent event);

    GatewaySettings settings;
    SettingsReader reread;
    SystemRandomness randomness;
    PlatformTrafficCodec codec;
    std::unique_ptr<TelemetryHub> telemetry;
    Gateway gateway;
    std::promise<void> stopped;
    PeerChannel peers;
    std::unique_ptr<TrafficServer> traffic;
    /** Gateways on the platform's list. */
    std::atomic<std::size_t> listedGateways { 1 };
    std::vector<std::unique_ptr<StoreFollower>> followers;
};

GatewayProcess::GatewayProcess(const GatewaySettings& gatewaySettings, SettingsReader settingsReader)
    : settings(gatewaySettings)
    , reread(std::move(settingsReader))
    , telemetry(TelemetryHubBuilder().withLogSink(writeLog).build())
    , gateway(
          gatewayLimits(this->settings), { GatewayId(this->settings.instance), this->settings.zone }, this->randomness)
    , peers(
          this->settings.peers, [this](PeerNews news) { this->traffic->ring().tryPush(PeerHeard { std::move(news) }); })
    , traffic(std::make_unique<TrafficServer>(trafficOptions(this->settings),
          TrafficServer::Parts { this->gateway, this->codec, *this->telemetry, this->peers,
              [this] { return this->telemetry->renderPrometheus(); }, &bootTimeNow,
              [this] { this->stopped.set_value(); } }))
{
    const GatewayMember self { GatewayId(this->settings.instance), this->settings.peers };
    this->followers.push_back(this->follow(std::make_unique<OperatorTable>(), freshnessHold));
    this->followers.push_back(this->follow(std::make_unique<EndpointTableRows>(), freshnessHold));
    this->followers.push_back(this->follow(std::make_unique<MemberTable>(self), memberHold));
}

std::unique_ptr<StoreFollower> GatewayProcess::follow(std::unique_ptr<TableTranslator> translator, Milliseconds hold)
{
    StoreFollower::Options options;
    options.store = this->settings.store;
    options.timeout = this->settings.storeTimeout;
    options.hold = hold;
    options.pause = [this] { return storePause(this->listedGateways); };
    return std::make_unique<StoreFollower>(
        options, std::move(translator), [this](GatewayEvent event) { this->storeNews(std::move(event)); },
        &bootTimeNow);
}

void GatewayProcess::storeNews(GatewayEvent event)
{
    if (const auto* listed = std::get_if<MembersListed>(&event))
        this->listedGateways = listed->members.size();
    this->traffic->ring().push(std::move(event));
}

void GatewayProcess::waitForStop(const sigset_t& signals)
{
    const timespec period { settingsPeriod.count(), 0 };
    while (true) {
        const int signal = sigtimedwait(&signals, nullptr, &period);
        if (signal == SIGTERM || signal == SIGINT)
            return;
        this->reload(signal == SIGHUP);
    }
}

void GatewayProcess::reload(bool asked)
{
    const auto read = this->reread();
    const auto* changed = std::get_if<GatewaySettings>(&read);
    if (!changed) {
        if (asked)
            this->telemetry->log(
                { "reload", { { "outcome", "refused" }, { "reason", std::get<ProcessExit>(read).errors } } });
        return;
    }
    if (!asked && *changed == this->settings)
        return;
    this->settings = *changed;
    this->traffic->ring().push(LimitsChanged { gatewayLimits(this->settings) });
}

std::optional<Failure> GatewayProcess::run(const sigset_t& signals)
{
    this->telemetry->start();
    this->telemetry->log(
        { "started", { { "instance", this->settings.instance }, { "zone", this->settings.zone.get() } } });
    if (auto failure = this->traffic->start())
        return failure;
    if (const auto reason = this->peers.start())
        return Failure { ErrorCode::Internal, "cannot listen for peers: " + *reason, Run::No, {} };
    for (const auto& follower : this->followers)
        follower->start();
    this->waitForStop(signals);
    this->traffic->ring().push(GatewayStopRequested {});
    this->stopped.get_future().wait();
    for (const auto& follower : this->followers)
        follower->stop();
    this->peers.stop();
    this->traffic->stop();
    this->telemetry->log({ "stopped", { { "instance", this->settings.instance } } });
    this->telemetry->stop();
    return std::nullopt;
}

}

int main(int argc, char** argv)
{
    const sigset_t signals = blockSignals();
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto read = readGatewayCommandLine({ "teaselfold-gateway", TEASELFOLD_VERSION }, arguments);
    if (const auto* exit = std::get_if<ProcessExit>(&read))
        return reportProcessExit(*exit);
    startLogging(argv[0]);
    GatewayProcess process(*std::get_if<GatewaySettings>(&read), [&] {
        return readGatewayCommandLine({ "teaselfold-gateway", TEASELFOLD_VERSION }, arguments);
    });
    const auto failure = process.run(signals);
    if (failure)
        writeLog({ "start_failed", { { "reason", failure->message } } });
    return static_cast<int>(failure ? ExitCode::Failed : ExitCode::Done);
}
