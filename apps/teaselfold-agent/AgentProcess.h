#pragma once

#include "adapters/engine/EngineClient.h"
#include "adapters/engine/PlainServiceClient.h"
#include "adapters/fleet/JsonDocumentCodec.h"
#include "adapters/link/AgentLinkServer.h"
#include "adapters/metrics/LinkTrafficGauges.h"
#include "adapters/metrics/TelemetryHub.h"
#include "adapters/platform/PlatformClient.h"
#include "adapters/settings/AgentSettings.h"
#include "ports/Randomness.h"
#include "runtime/AgentDuty.h"
#include "runtime/SystemRandomness.h"

#include <future>
#include <memory>

namespace teaselfold {

class ProbeServer;

/** Owns and connects all threads of an agent process. */
class AgentProcess {
public:
    explicit AgentProcess(const AgentSettings& settings);
    ~AgentProcess();
    /** Starts all threads and listeners. @return false when a port cannot be bound. */
    bool start();
    /** Starts a graceful shutdown, which drains the work in progress. Idempotent. */
    void startDrain() { this->duty.ring().push(AgentStopRequested {}); }
    /** Blocks until the drain is complete, then stops all threads. */
    void runUntilDrained();

private:
    void logEvent(const std::string& name) { this->telemetry->log(LogEvent { name, {} }); }

    AgentSettings settings;
    SystemRandomness randomness;
    Incarnation incarnation { this->randomness.next() };
    std::unique_ptr<TelemetryHub> telemetry;
    JsonDocumentCodec codec;
    AgentDuty duty;
    std::unique_ptr<PlatformClient> platform;
    std::unique_ptr<EngineClient> engine;
    std::unique_ptr<PlainServiceClient> service;
    std::unique_ptr<AgentLinkServer> links;
    LinkTrafficGauges traffic { [this] { return this->links->traffic(); } };
    std::unique_ptr<ProbeServer> admin;
    std::promise<void> drained;
};

}
