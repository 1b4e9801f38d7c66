#include "AgentProcess.h"

#include "adapters/http/AdminServer.h"
#include "adapters/logging/GlogLog.h"
#include "core/agent/AdmissionController.h"
#include "core/agent/CallAdmission.h"

#include <algorithm>

namespace teaselfold {

namespace {

    constexpr std::size_t platformWorkers = 4;
    /** Workers beyond the limit of concurrent calls, so that an admitted call never waits for a free worker. */
    constexpr std::size_t spareServiceWorkers = 8;

    AgentLimits admissionLimits(const AgentSettings& settings)
    {
        AgentLimits limits;
        limits.reportInterval = settings.reportInterval;
        limits.orphanGrace = settings.graceTime;
        limits.acknowledgedRetention = settings.graceTime;
        limits.engineTimeout = settings.engineTimeout;
        limits.flowWindow = settings.flowWindow;
        limits.queueCapacity = settings.queueCapacity;
        limits.queueCapacityPerTeam = std::max<std::size_t>(1, settings.queueCapacity / 2);
        return limits;
    }

    std::unique_ptr<AgentDecisions> createDecisions(
        const AgentSettings& settings, Incarnation incarnation, Randomness& randomness)
    {
        const AgentLimits limits = admissionLimits(settings);
        if (settings.engine) {
            AdmissionControllerBuilder builder;
            builder.withEndpoint(settings.endpoint).withZone(settings.zone).withIncarnation(incarnation);
            return std::make_unique<AdmissionController>(builder.withRandomness(randomness).withLimits(limits).build());
        }
        CallAdmissionBuilder builder;
        builder.withEndpoint(settings.endpoint).withZone(settings.zone).withIncarnation(incarnation);
        return std::make_unique<CallAdmission>(builder.withRandomness(randomness).withLimits(limits).build());
    }

}

AgentProcess::~AgentProcess() = default;

AgentProcess::AgentProcess(const AgentSettings& agentSettings)
    : settings(agentSettings)
    , telemetry(TelemetryHubBuilder().withLogOutput(std::make_unique<GlogLog>()).build())
    , duty(createDecisions(agentSettings, this->incarnation, this->randomness))
{
    Ring<AgentEvent>& ring = this->duty.ring();
    this->platform = PlatformClientBuilder()
                         .withAddress(agentSettings.platform)
                         .withTimeout(agentSettings.platformTimeout)
                         .withWorkers(platformWorkers)
                         .withSink([&ring](const PlatformReply& reply) { ring.push(FromPlatform { reply }); })
                         .build();
    AgentLinkServerBuilder links;
    links.withAddress(agentSettings.link).withEndpoint(agentSettings.endpoint).withIncarnation(this->incarnation);
    links.withCodec(this->codec).withTelemetry(*this->telemetry).withIdleTimeout(agentSettings.linkIdleLimit);
    if (agentSettings.engine)
        links.withAdmissionRing(ring);
    else
        links.withCallRing(ring);
    this->links = links.build();
    const ProbeCallbacks probes { [this] { return this->duty.isReady(); },
        [this] { return this->telemetry->renderPrometheus(); } };
    this->telemetry->addGaugeSource(this->traffic);
    this->admin = std::make_unique<ProbeServer>(agentSettings.admin, probes);
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
                           .withMaxStreams(this->settings.engineStreams)
                           .withSink([&ring](const EngineEvent& event) { ring.push(FromEngine { event }); })
                           .build();
    if (this->settings.service)
        this->service = PlainServiceClientBuilder()
                            .withAddress(*this->settings.service)
                            .withWorkers(AgentLimits().maxConcurrentCalls + spareServiceWorkers)
                            .withSink([&ring](const ServiceEvent& event) { ring.push(FromService { event }); })
                            .build();
    this->duty.start(AgentDutyPorts { *this->links, *this->platform, *this->telemetry, this->engine.get(),
        this->service.get(), [this] { this->drained.set_value(); } });
    if (!this->links->start() || this->admin->start()) {
        this->logEvent("port_unavailable");
        return false;
    }
    this->logEvent("agent_started");
    return true;
}

void AgentProcess::runUntilDrained()
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

}
