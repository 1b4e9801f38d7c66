#pragma once

#include "adapters/net/BodyDecoder.h"
#include "adapters/traffic/CallerConnections.h"
#include "adapters/traffic/EventStreamFilter.h"
#include "core/gateway/ResponseBudget.h"

#include <map>
#include <set>

namespace teaselfold {

/** Manages pooled connections to endpoints: sends requests and reads the responses, one at a time per connection. */
class EndpointConnections {
public:
    /** @param responseMemory bytes that all responses together may buffer before callers can have them. */
    EndpointConnections(
        TrafficContext& context, CallerConnections& callers, Milliseconds connectTimeout, std::size_t responseMemory)
        : context(context)
        , callers(callers)
        , connectTimeout(connectTimeout)
        , budget(responseMemory)
    {
    }

    /** Sends a request on a pooled or a new connection. */
    void startExchange(const ExchangeParameters& parameters);
    /** Cancels an exchange by closing its connection. */
    void cancel(ExchangeId exchange);
    /** Forwards the exchange's response to its caller: the part already received and the rest as it arrives. */
    void relayResponse(ExchangeId exchange);
    /** Asks an engine to migrate a running request. The outcome is reported as an event. */
    void startMigration(const StartMigration& migration);
    /** Opens a connection to an endpoint and closes it again. The outcome is reported as an event. */
    void probe(const ProbeEndpoint& probe);

    void connected(ConnectionId connection);
    void received(ConnectionId connection, std::string_view bytes);
    void closed(ConnectionId connection, const ConnectionClosure& closure);
    bool owns(ConnectionId connection) const { return this->channels.contains(connection); }
    /** Resumes reading a stream that was paused because its caller was slow. */
    void callerDrained(ConnectionId caller);
    /** Closes pooled connections before their endpoints do, and fails migrations that got no response in time. */
    void tick();

private:
    enum class Phase : std::uint8_t {
        Connecting,
        Busy,
        Idle,
    };

    /** A connection to an endpoint, and the exchange, migration or probe that uses it. */
    struct Channel {
        Phase phase { Phase::Connecting };
        EndpointId endpoint;
        Address address;
        /** The current or most recent exchange. */
        ExchangeParameters parameters;
        std::optional<StartMigration> migration;
        /** The connection only shows whether the endpoint accepts it. */
        bool isProbe { false };
        std::string callerRequestId;
        /** The connection carried earlier requests, to which further responses may come. */
        bool isReused { false };
        Instant startedAt;
        Instant idleUntil;
        std::string inbound;
        std::optional<ResponseHead> head;
        std::optional<BodyDecoder> decoder;
        std::string body;
        /** The response being read belongs to an earlier request, or nothing tells to which, and is discarded. */
        bool isStaleResponse { false };
        /** Number of interim and stale responses since the request was sent. */
        std::size_t discardedHeads { 0 };
        bool isStream { false };
        bool isRelaying { false };
        bool isReusable { true };
        std::optional<EventStreamFilter> events;
        /** The response counts as memory held for its caller. */
        bool isCharged { false };
    };

    ConnectionId acquireConnection(const EndpointId& endpoint, const Address& address);
    void send(ConnectionId connection, Channel& channel);
    /** @return false when the channel was removed, or waits for more bytes or for the gateway's decision. */
    bool processInbound(ConnectionId connection, Channel& channel);
    /** @return false when the head is incomplete or the exchange has failed. */
    bool readHead(ConnectionId connection, Channel& channel);
    void handleResponseHead(ConnectionId connection, Channel& channel);
    /** @return true when a stale response was discarded, so that the next one can be read. */
    bool handleResponseEnd(ConnectionId connection, Channel& channel);
    /** Records the memory that the response takes before it is relayed, and charges its caller with it. */
    void recordBuffered(ConnectionId connection);
    /** Gives up the responses that buffer most while all together buffer too much. */
    void keepWithinMemory();
    void forwardEvents(ConnectionId connection, Channel& channel);
    /** Fails migrations without a timely response; their outcome at the engine stays unknown. */
    void failExpiredMigrations();
    /** Returns a connection to the pool, or closes it when it cannot be reused. */
    void release(ConnectionId connection, Channel& channel);
    /** Reports how a probe ended and closes its connection. */
    void endProbe(ConnectionId connection, ProbeOutcome outcome);
    /** Reports the exchange or migration as failed and closes the connection. */
    void fail(ConnectionId connection, ExchangeEnd end);
    /** Closes a connection without an event. */
    void discard(ConnectionId connection);
    ResponseHead relayedHead(const Channel& channel) const;

    TrafficContext& context;
    CallerConnections& callers;
    Milliseconds connectTimeout;
    ResponseBudget budget;
    std::map<ConnectionId, Channel> channels;
    std::map<ExchangeId, ConnectionId> connectionsByExchange;
    std::map<EndpointId, std::set<ConnectionId>> idleConnections;
    /** Endpoint connections paused until their slow caller has read the queued bytes, by the caller's connection. */
    std::map<ConnectionId, ConnectionId> blockedReads;
};

}
