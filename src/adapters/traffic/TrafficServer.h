#pragma once

#include "adapters/traffic/CallerConnections.h"
#include "adapters/traffic/EndpointConnections.h"
#include "adapters/traffic/StatusConnections.h"
#include "core/gateway/Gateway.h"
#include "ports/EntryInterfaces.h"
#include "ports/StoreInterfaces.h"
#include "runtime/Ring.h"

#include <functional>
#include <memory>

namespace teaselfold {

/** Listening addresses and timeouts of a traffic server. */
struct TrafficOptions {
    Address callers;
    Address readiness;
    std::optional<Address> metrics;
    Milliseconds connectTimeout { 250 };
    /** Connections of callers, endpoints and status clients together. */
    std::size_t maxConnections { 3600 };
    CallerBudgetLimits callerLimits { std::size_t { 36 } * 1024 * 1024, 3200, Milliseconds(10000) };
};

/** The traffic duty: serves the sockets of callers and endpoints, and runs the gateway's decisions between them. */
class TrafficServer final : private SocketHandler {
public:
    struct Dependencies {
        Gateway& gateway;
        const TrafficCodec& codec;
        Telemetry& telemetry;
        Peers& peers;
        StoreReads& store;
        RolloutStore& rollouts;
        /** Renders all metrics in the Prometheus text format. */
        std::function<std::string()> metrics;
        /** Must advance while the machine is suspended, because known state also ages during that time. */
        std::function<Instant()> clock;
        /** Called once, when the gateway's stop is complete. Requests are refused from then on. */
        std::function<void()> stopped;
        /** Called once after that, when the responses are written or the time for it is over. */
        std::function<void()> written;
    };

    TrafficServer(TrafficOptions options, Dependencies dependencies);
    ~TrafficServer() override { this->stop(); }
    TrafficServer(const TrafficServer&) = delete;
    TrafficServer& operator=(const TrafficServer&) = delete;

    /** Opens the listeners and starts the thread. @return the failure when an address cannot be bound. */
    std::optional<Failure> start();
    void stop() { this->loop.stop(); }
    /** Ring for events from other duties. */
    Ring<GatewayEvent>& ring() { return this->inbox; }

private:
    struct Handlers;

    void connected(ConnectionId connection) override;
    bool received(ConnectionId connection, std::string_view bytes) override;
    void closed(ConnectionId connection, const ConnectionClosure& closure) override;
    void drained(ConnectionId connection) override;
    bool canReceive() override { return true; }
    void woken() override;
    void tick(Instant now) override;

    void processEvents();
    void execute(const GatewayActions& actions);
    /** Drains connections after a stop request, and reports when shutdown is complete. */
    void advanceShutdown();

    void startExchange(const StartExchange& action);
    void cancelExchange(const CancelExchange& action);
    void relayResponse(const RelayResponse& action);
    void refuseRequest(const RefuseRequest& action);
    void completeResponse(const CompleteResponse& action);
    void abortResponse(const AbortResponse& action);
    void startMigration(const StartMigration& action);
    void probeEndpoint(const ProbeEndpoint& action);
    void sendGossip(const SendGossip& action);
    void sendReading(const SendReading& action);
    void readStore(const ReadStore& action);
    void readRollouts(const ReadRollouts& action);
    void writeRollout(const WriteRollout& action);
    void log(const LogEvent& action);
    void observe(const Observation& action);

    TrafficOptions options;
    Dependencies dependencies;
    Instant now;
    std::deque<GatewayEvent> events;
    Ring<GatewayEvent> inbox;
    SocketLoop loop;
    TrafficContext context;
    CallerConnections callers;
    EndpointConnections endpoints;
    StatusConnections status;
    bool drainStarted { false };
    bool stopReported { false };
    bool writtenReported { false };
};

}
