#include "adapters/traffic/TrafficServer.h"

#include "core/common/HandlerTable.h"

namespace teaselfold {

namespace {

    constexpr std::size_t inboxCapacity = 1024;
    /** Responses that callers cannot have yet take at most this part of the callers' memory. */
    constexpr std::size_t responsesPart = 2;
    constexpr std::size_t callerListener = 1;

    SocketLoopOptions loopOptions(const TrafficOptions& traffic)
    {
        SocketLoopOptions options;
        options.makeDecoder = [] { return std::make_unique<PassthroughDecoder>(); };
        // Fits one response of maximum size; streams are paused by back-pressure long before.
        options.maxOutboundBytes = std::size_t { 16 } * 1024 * 1024;
        options.maxConnections = traffic.maxConnections;
        options.tickPeriod = Milliseconds(50);
        return options;
    }

}

struct TrafficServer::Handlers {
    static const HandlerTable<TrafficServer, void, GatewayAction>& actions()
    {
        static const HandlerTable<TrafficServer, void, GatewayAction> table(&TrafficServer::startExchange,
            &TrafficServer::cancelExchange, &TrafficServer::relayResponse, &TrafficServer::refuseRequest,
            &TrafficServer::completeResponse, &TrafficServer::abortResponse, &TrafficServer::startMigration,
            &TrafficServer::probeEndpoint, &TrafficServer::sendGossip, &TrafficServer::sendReading,
            &TrafficServer::readStore, &TrafficServer::readRollouts, &TrafficServer::writeRollout, &TrafficServer::log,
            &TrafficServer::observe);
        return table;
    }
};

TrafficServer::TrafficServer(TrafficOptions trafficOptions, Dependencies serverDependencies)
    : options(std::move(trafficOptions))
    , dependencies(std::move(serverDependencies))
    , now(this->dependencies.clock())
    , inbox(inboxCapacity)
    , loop(loopOptions(this->options))
    , context { this->loop, this->dependencies.codec, this->events, this->now }
    , callers(this->context, this->options.callerLimits)
    , endpoints(this->context, this->callers, this->options.connectTimeout,
          this->options.callerLimits.memoryBytes / responsesPart)
    , status(this->context,
          { [this] { return this->dependencies.gateway.isReady(this->now); }, this->dependencies.metrics })
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
    this->now = this->dependencies.clock();
    const std::size_t listener = this->loop.listenerIndex(connection);
    if (listener == 0)
        this->endpoints.connected(connection);
    else if (listener == callerListener)
        this->callers.connected(connection);
    else
        this->status.connected(connection);
    this->processEvents();
}

bool TrafficServer::received(ConnectionId connection, std::string_view bytes)
{
    this->now = this->dependencies.clock();
    if (this->callers.owns(connection))
        this->callers.received(connection, bytes);
    else if (this->status.owns(connection))
        this->status.received(connection, bytes);
    else
        this->endpoints.received(connection, bytes);
    this->processEvents();
    this->callers.keepWithinMemory();
    this->processEvents();
    return true;
}

void TrafficServer::closed(ConnectionId connection, const ConnectionClosure& closure)
{
    this->now = this->dependencies.clock();
    if (this->callers.owns(connection))
        this->callers.closed(connection, closure);
    else if (this->status.owns(connection))
        this->status.closed(connection);
    else
        this->endpoints.closed(connection, closure);
    this->processEvents();
}

void TrafficServer::drained(ConnectionId connection)
{
    if (!this->callers.owns(connection))
        return;
    this->now = this->dependencies.clock();
    this->endpoints.callerDrained(connection);
    this->callers.drained(connection);
    this->processEvents();
}

void TrafficServer::woken()
{
    this->now = this->dependencies.clock();
    while (auto event = this->inbox.tryPop())
        this->events.push_back(std::move(*event));
    this->processEvents();
}

void TrafficServer::tick(Instant)
{
    this->now = this->dependencies.clock();
    this->callers.tick();
    this->endpoints.tick();
    this->status.tick();
    this->execute(this->dependencies.gateway.tick(this->now));
    this->processEvents();
    this->advanceShutdown();
}

void TrafficServer::processEvents()
{
    while (!this->events.empty()) {
        const GatewayEvent event = std::move(this->events.front());
        this->events.pop_front();
        this->execute(this->dependencies.gateway.handle(event, this->now));
        if (std::holds_alternative<ConfigurationRead>(event) && this->dependencies.gateway.configuration())
            this->callers.setBounds(this->dependencies.gateway.configuration()->bounds);
    }
}

void TrafficServer::advanceShutdown()
{
    const Gateway& gateway = this->dependencies.gateway;
    if (!gateway.stopRequestedAt() || this->writtenReported)
        return;
    if (!this->drainStarted)
        this->callers.beginDrain();
    this->drainStarted = true;
    const Duration elapsed = this->now - *gateway.stopRequestedAt();
    if (elapsed >= gateway.limits().drainDelay)
        this->callers.closeIdleConnections();
    if (!gateway.isStopComplete())
        return;
    if (!std::exchange(this->stopReported, true))
        this->dependencies.stopped();
    // A response that was decided on must also reach its caller's connection.
    const Duration lastWrite = gateway.limits().stopLimit + gateway.limits().responseFlushTime;
    if (this->callers.hasUnsentBytes() && elapsed < lastWrite)
        return;
    this->writtenReported = true;
    this->callers.reportUnsentResponses();
    this->processEvents();
    this->dependencies.written();
}

void TrafficServer::execute(const GatewayActions& actions)
{
    for (const GatewayAction& action : actions)
        Handlers::actions().dispatch(*this, action);
}

void TrafficServer::startExchange(const StartExchange& action) { this->endpoints.startExchange(action.parameters); }

void TrafficServer::cancelExchange(const CancelExchange& action) { this->endpoints.cancel(action.exchange); }

void TrafficServer::relayResponse(const RelayResponse& action) { this->endpoints.relayResponse(action.exchange); }

void TrafficServer::refuseRequest(const RefuseRequest& action)
{
    this->callers.sendFailure(action.request, action.failure);
}

void TrafficServer::completeResponse(const CompleteResponse& action) { this->callers.completeResponse(action.request); }

void TrafficServer::abortResponse(const AbortResponse& action) { this->callers.abortResponse(action.request); }

void TrafficServer::startMigration(const StartMigration& action) { this->endpoints.startMigration(action); }

void TrafficServer::probeEndpoint(const ProbeEndpoint& action) { this->endpoints.probe(action); }

void TrafficServer::sendGossip(const SendGossip& action) { this->dependencies.peers.send(action); }

void TrafficServer::sendReading(const SendReading& action) { this->dependencies.peers.send(action); }

void TrafficServer::readStore(const ReadStore& action) { this->dependencies.store.read(action); }

void TrafficServer::readRollouts(const ReadRollouts& action) { this->dependencies.rollouts.read(action); }

void TrafficServer::writeRollout(const WriteRollout& action) { this->dependencies.rollouts.write(action); }

void TrafficServer::log(const LogEvent& action) { this->dependencies.telemetry.log(action); }

void TrafficServer::observe(const Observation& action) { this->dependencies.telemetry.observe(action); }

}
