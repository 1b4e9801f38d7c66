#include "adapters/traffic/TrafficServer.h"

#include "core/common/HandlerTable.h"

namespace teaselfold {

namespace {

    constexpr std::size_t inboxCapacity = 1024;
    constexpr std::size_t callerListener = 1;

    SocketLoopOptions loopOptions()
    {
        SocketLoopOptions options;
        options.makeSplitter = [] { return std::make_unique<PassingSplitter>(); };
        // Room for one largest answer; streams are held back long before.
        options.maximumOutboundBytes = std::size_t { 16 } * 1024 * 1024;
        // Descriptors are left for files and for connections to the store.
        options.maximumConnections = 3600;
        options.tickPeriod = Milliseconds(50);
        return options;
    }

}

struct TrafficServer::Handlers {
    static const HandlerTable<TrafficServer, void, GatewayAction>& actions()
    {
        static const HandlerTable<TrafficServer, void, GatewayAction> table(&TrafficServer::startExchange,
            &TrafficServer::cancelExchange, &TrafficServer::relayAnswer, &TrafficServer::refuseRequest,
            &TrafficServer::cutAnswer, &TrafficServer::startMove, &TrafficServer::tellPeers, &TrafficServer::log,
            &TrafficServer::observe);
        return table;
    }
};

TrafficServer::TrafficServer(TrafficOptions trafficOptions, Parts serverParts)
    : options(std::move(trafficOptions))
    , parts(std::move(serverParts))
    , now(this->parts.clock())
    , inbox(inboxCapacity)
    , loop(loopOptions())
    , context { this->loop, this->parts.codec, this->events, this->now }
    , callers(this->context)
    , endpoints(this->context, this->callers, this->options.connectTimeout)
    , status(this->context, { [this] { return this->parts.gateway.isReady(this->now); }, this->parts.metrics })
{
    this->inbox.setWaker([this] { this->loop.wake(); });
}

std::optional<Failure> TrafficServer::start()
{
    std::vector<Address> addresses { this->options.callers, this->options.readiness };
    if (this->options.metrics)
        addresses.push_back(*this->options.metrics);
    for (const Address& address : addresses) {
        if (!this->loop.listen(address)) {
            return Failure { ErrorCode::Internal,
                "cannot listen on " + address.host + ":" + std::to_string(address.port), Executed::No, {} };
        }
    }
    this->loop.start(*this);
    return std::nullopt;
}

void TrafficServer::connected(ConnectionId connection)
{
    this->now = this->parts.clock();
    const std::size_t listener = this->loop.listenerOf(connection);
    if (listener == 0)
        this->endpoints.connected(connection);
    else if (listener == callerListener)
        this->callers.connected(connection);
    else
        this->status.connected(connection);
    this->pump();
}

bool TrafficServer::received(ConnectionId connection, std::string_view bytes)
{
    this->now = this->parts.clock();
    if (this->callers.owns(connection))
        this->callers.received(connection, bytes);
    else if (this->status.owns(connection))
        this->status.received(connection, bytes);
    else
        this->endpoints.received(connection, bytes);
    this->pump();
    return true;
}

void TrafficServer::closed(ConnectionId connection, std::string_view reason)
{
    this->now = this->parts.clock();
    if (this->callers.owns(connection))
        this->callers.closed(connection);
    else if (this->status.owns(connection))
        this->status.closed(connection);
    else
        this->endpoints.closed(connection, reason == "closed_by_peer");
    this->pump();
}

void TrafficServer::drained(ConnectionId connection)
{
    if (this->callers.owns(connection))
        this->endpoints.callerDrained(connection);
}

void TrafficServer::woken()
{
    this->now = this->parts.clock();
    while (auto event = this->inbox.tryPop())
        this->events.push_back(std::move(*event));
    this->pump();
}

void TrafficServer::tick(Instant)
{
    this->now = this->parts.clock();
    this->callers.tick();
    this->endpoints.tick();
    this->execute(this->parts.gateway.tick(this->now));
    this->pump();
    this->followStop();
}

void TrafficServer::pump()
{
    while (!this->events.empty()) {
        const GatewayEvent event = std::move(this->events.front());
        this->events.pop_front();
        this->execute(this->parts.gateway.handle(event, this->now));
        if (std::holds_alternative<ConfigurationRead>(event) && this->parts.gateway.configuration())
            this->callers.setBounds(this->parts.gateway.configuration()->bounds);
    }
}

void TrafficServer::followStop()
{
    const auto requestedAt = this->parts.gateway.stopRequestedAt();
    if (!requestedAt || this->stopReported)
        return;
    if (!this->stopBegun)
        this->callers.beginStop();
    this->stopBegun = true;
    const Duration stoppingFor = this->now - *requestedAt;
    if (stoppingFor < this->options.drainDelay)
        return;
    this->callers.closeIdle();
    if (!this->parts.gateway.isDrained() && stoppingFor < this->options.stopLimit)
        return;
    this->stopReported = true;
    this->parts.stopped();
}

void TrafficServer::execute(const GatewayActions& actions)
{
    for (const GatewayAction& action : actions)
        Handlers::actions().dispatch(*this, action);
}

void TrafficServer::startExchange(const StartExchange& action) { this->endpoints.start(action.parameters); }

void TrafficServer::cancelExchange(const CancelExchange& action) { this->endpoints.cancel(action.exchange); }

void TrafficServer::relayAnswer(const RelayResponse& action) { this->endpoints.relay(action.exchange); }

void TrafficServer::refuseRequest(const RefuseRequest& action) { this->callers.refuse(action.request, action.failure); }

void TrafficServer::cutAnswer(const AbortResponse& action) { this->callers.cut(action.request); }

void TrafficServer::startMove(const StartMigration& action) { this->endpoints.startMove(action); }

void TrafficServer::tellPeers(const SendGossip& action) { this->parts.peers.send(action); }

void TrafficServer::log(const LogEvent& action) { this->parts.telemetry.log(action); }

void TrafficServer::observe(const Observation& action) { this->parts.telemetry.observe(action); }

}
