#pragma once

#include "adapters/traffic/CallerSide.h"
#include "adapters/traffic/EndpointSide.h"
#include "adapters/traffic/StatusSide.h"
#include "core/gateway/Gateway.h"
#include "ports/EntryInterfaces.h"
#include "runtime/Ring.h"

#include <functional>
#include <memory>

namespace teaselfold {

/** Where a traffic server listens and how long it waits. */
struct TrafficOptions {
    Address callers;
    Address readiness;
    std::optional<Address> metrics;
    Milliseconds connectTimeout { 250 };
    /** A stop ends the process by then, whatever is still in progress. */
    Milliseconds stopLimit { 7500 };
    /** Kept connections stay open for so long after the order to stop; then the idle ones close. */
    Milliseconds drainDelay { 3000 };
};

/** The traffic duty: the sockets of callers and endpoints, and the decisions between them. */
class TrafficServer final : private SocketHandler {
public:
    struct Parts {
        Gateway& gateway;
        const TrafficCodec& codec;
        Telemetry& telemetry;
        Peers& peers;
        std::function<std::string()> metrics;
        /** Counts suspended time too, as ages of knowledge must. */
        std::function<Instant()> clock;
        /** Called once when a stop is complete. */
        std::function<void()> stopped;
    };

    TrafficServer(TrafficOptions options, Parts parts);
    ~TrafficServer() override { this->stop(); }
    TrafficServer(const TrafficServer&) = delete;
    TrafficServer& operator=(const TrafficServer&) = delete;

    /** @return the reason when an address is taken. */
    std::optional<Failure> start();
    void stop() { this->loop.stop(); }
    /** News from other duties. */
    Ring<GatewayEvent>& ring() { return this->inbox; }

private:
    struct Handlers;

    void connected(ConnectionId connection) override;
    bool received(ConnectionId connection, std::string_view bytes) override;
    void closed(ConnectionId connection, std::string_view reason) override;
    void drained(ConnectionId connection) override;
    bool ready() override { return true; }
    void woken() override;
    void tick(Instant now) override;

    void pump();
    void execute(const GatewayActions& actions);
    void followStop();

    void startExchange(const StartExchange& action);
    void cancelExchange(const CancelExchange& action);
    void relayAnswer(const RelayResponse& action);
    void refuseRequest(const RefuseRequest& action);
    void cutAnswer(const AbortResponse& action);
    void startMove(const StartMigration& action);
    void tellPeers(const SendGossip& action);
    void log(const LogEvent& action);
    void observe(const Observation& action);

    TrafficOptions options;
    Parts parts;
    Instant now;
    std::deque<GatewayEvent> events;
    Ring<GatewayEvent> inbox;
    SocketLoop loop;
    TrafficContext context;
    CallerSide callers;
    EndpointSide endpoints;
    StatusSide status;
    bool stopBegun { false };
    bool stopReported { false };
};

}
