#pragma once

#include "adapters/traffic/BodyDecoder.h"
#include "adapters/traffic/CallerSide.h"
#include "adapters/traffic/EventSplitter.h"

#include <map>
#include <set>

namespace teaselfold {

/** Keeps connections to endpoints, sends requests on them and reads the answers. One request a connection at a time. */
class EndpointSide {
public:
    EndpointSide(TrafficContext& context, CallerSide& callers, Milliseconds connectTimeout)
        : context(context)
        , callers(callers)
        , connectTimeout(connectTimeout)
    {
    }

    void start(const ExchangeParameters& parameters);
    /** Closes the exchange's connection. */
    void cancel(ExchangeId exchange);
    /** Passes the exchange's answer to its caller, what came of it and what will come. */
    void relay(ExchangeId exchange);
    void startMove(const StartMigration& move);

    void connected(ConnectionId connection);
    void received(ConnectionId connection, std::string_view bytes);
    /** @param inOrder the peer ended its sending, as opposed to a reset. */
    void closed(ConnectionId connection, bool inOrder);
    bool owns(ConnectionId connection) const { return this->channels.contains(connection); }
    /** The caller took what was queued: its stream may be read on. */
    void callerDrained(ConnectionId caller);
    /** Closes pooled connections before their endpoints do, and ends moves that are not answered. */
    void tick();

private:
    enum class Phase : std::uint8_t {
        Connecting,
        Busy,
        Idle,
    };

    /** One connection to an endpoint. */
    struct Channel {
        Phase phase { Phase::Connecting };
        EndpointId endpoint;
        Address address;
        /** What is under way, or was last. */
        ExchangeParameters parameters;
        std::optional<StartMigration> move;
        std::string callerRequestId;
        Instant orderedAt;
        Instant idleUntil;
        std::string inbound;
        std::optional<ResponseHead> head;
        std::optional<BodyDecoder> decoder;
        std::string body;
        /** The answer being read belongs to an older request. */
        bool isForeign { false };
        bool isStream { false };
        bool isRelaying { false };
        bool isReusable { true };
        std::optional<EventSplitter> events;
    };

    ConnectionId takeIdle(const EndpointId& endpoint, const Address& address);
    void send(ConnectionId connection, Channel& channel);
    /** @return false when the channel is gone or waits for a decision. */
    bool readSome(ConnectionId connection, Channel& channel);
    bool readHead(ConnectionId connection, Channel& channel);
    void headComplete(ConnectionId connection, Channel& channel);
    bool answerComplete(ConnectionId connection, Channel& channel);
    void forwardEvents(ConnectionId connection, Channel& channel);
    /** A connection may be silent for good: what came of its move is not known. */
    void endLateMoves();
    void release(ConnectionId connection, Channel& channel);
    void fail(ConnectionId connection, ExchangeEnd end);
    void forget(ConnectionId connection);
    ResponseHead relayedHead(const Channel& channel) const;

    TrafficContext& context;
    CallerSide& callers;
    Milliseconds connectTimeout;
    std::map<ConnectionId, Channel> channels;
    std::map<ExchangeId, ConnectionId> byExchange;
    std::map<EndpointId, std::set<ConnectionId>> idle;
    /** Exchanges that are not read until their caller takes what is queued, by the caller's connection. */
    std::map<ConnectionId, ConnectionId> heldFor;
};

}
