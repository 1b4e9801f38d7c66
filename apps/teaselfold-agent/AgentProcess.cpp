#include "AgentProcess.h"

#include "adapters/http/AdminServer.h"
#include "adapters/logging/GlogLog.h"
#include "core/agent/Admission.h"
#include "core/agent/CallKeeper.h"

#include <algorithm>

namespace teaselfold {

namespace {

    constexpr std::size_t platformWorkers = 4;
    /** More workers than calls in progress, so that a call never waits for one. */
    constexpr std::size_t spareServiceWorkers = 8;

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

}

AgentProcess::~AgentProcess() = default;

AgentProcess::AgentProcess(const AgentSettings& given)
    : settings(given)
    , telemetry(TelemetryHubBuilder().withLogSink(writeLog).build())
    , duty(decisionsFor(given, this->incarnation, this->randomness))
{
    Ring<AgentEvent>& ring = this->duty.ring();
    this->platform = PlatformClientBuilder()
                         .withAddress(given.platform)
                         .withTimeout(given.platformTimeout)
                         .withWorkers(platformWorkers)
                         .withSink([&ring](const PlatformReply& reply) { ring.push(FromPlatform { reply }); })
                         .build();
    AgentLinkServerBuilder links;
    links.withAddress(given.link).withEndpoint(given.endpoint).withIncarnation(this->incarnation);
    links.withCodec(this->codec).withTelemetry(*this->telemetry).withIdleLimit(given.linkIdleLimit);
    if (given.engine)
        links.withAdmissionRing(ring);
    else
        links.withCallRing(ring);
    this->links = links.build();
    const ProbeSources probes { [this] { return this->duty.isReady(); },
        [this] { return this->telemetry->renderPrometheus(); } };
    this->telemetry->addGauges(this->traffic);
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
    this->duty.start(AgentDutyPorts { *this->links, *this->platform, *this->telemetry, this->engine.get(),
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

}
