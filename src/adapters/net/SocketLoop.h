#pragma once

#include "adapters/net/StreamDecoder.h"
#include "adapters/net/WakeChannel.h"
#include "ports/Fleet.h"
#include "ports/Ids.h"
#include "ports/LinkTraffic.h"
#include "ports/Time.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace teaselfold {

/** How a connection ended. */
struct ConnectionClosure {
    /** The peer shut down its sending side. */
    static constexpr std::string_view closedByPeer = "closed_by_peer";
    /** No process listens at the address. */
    static constexpr std::string_view refused = "connection_refused";

    std::string_view reason;
    /** Number of bytes that were queued but not written. */
    std::size_t unsentBytes { 0 };
};

/** Receives the events of a loop's connections. Called on the loop's thread only. */
class SocketHandler {
public:
    virtual ~SocketHandler() = default;
    virtual void connected(ConnectionId connection) = 0;
    /** Handles a complete message. @return false to close the connection; `closed` is not called then. */
    virtual bool received(ConnectionId connection, std::string_view message) = 0;
    /** The connection was closed, or could not be established. Not called after `SocketLoop::close`. */
    virtual void closed(ConnectionId connection, const ConnectionClosure& closure) = 0;
    /** All queued bytes of the connection have been written. */
    virtual void drained(ConnectionId) { }
    /** @return true when the handler can take another message; while it is false the loop delivers none. */
    virtual bool canReceive() = 0;
    /** Processes queued commands. Called after a wake-up, at every tick and when the loop stops. */
    virtual void woken() = 0;
    /** Called once per tick period. */
    virtual void tick(Instant now) = 0;
};

/** Settings of a socket loop. */
struct SocketLoopOptions {
    /** Creates the decoder of a new connection. */
    std::function<std::unique_ptr<StreamDecoder>()> makeDecoder;
    /** Limit on bytes queued for a slow peer; a connection that exceeds it is closed. */
    std::size_t maxOutboundBytes { 0 };
    std::size_t maxConnections { 4096 };
    Milliseconds tickPeriod { 100 };
};

/**
 * Event loop that serves TCP connections on one thread. Reads and writes never block. The bytes queued for a slow peer
 * are bounded, and a connection that exceeds the bound is closed.
 */
class SocketLoop {
public:
    explicit SocketLoop(SocketLoopOptions options);
    ~SocketLoop() { this->stop(); }
    SocketLoop(const SocketLoop&) = delete;
    SocketLoop& operator=(const SocketLoop&) = delete;

    /**
     * Listens on an address. May be called several times, before `start` only.
     * @return false when the address cannot be bound.
     */
    bool listen(const Address& address);
    /** @return the actual port of the last address listened on, also if port 0 was requested; 0 without one. */
    std::uint16_t port() const { return this->listeningPort; }
    /** @return traffic totals of all connections. Callable from any thread. */
    LinkTraffic traffic() const;
    /** Starts the thread. @param handler must stay alive until `stop` returns. */
    void start(SocketHandler& handler);
    /** Writes what can be written without blocking, closes all connections and joins the thread. Idempotent. */
    void stop();
    /** Makes the loop call `SocketHandler::woken`. Callable from any thread. */
    void wake() { this->wakeUps.wake(); }

    // The following are called on the loop's thread only.

    /** Starts to connect; the handler's `connected` or `closed` follows. */
    ConnectionId connect(const Address& address, Milliseconds timeout);
    /** Queues bytes, which are written after the handler has returned. */
    void send(ConnectionId connection, std::string_view bytes);
    /** @return number of bytes queued but not yet written. */
    std::size_t queuedBytes(ConnectionId connection) const;
    /** @return number of bytes written since the connection began. */
    std::uint64_t writtenBytes(ConnectionId connection) const;
    /** Stops or resumes reading from the peer, to apply back-pressure. */
    void setReadEnabled(ConnectionId connection, bool enabled);
    /**
     * Writes what is queued as long as the peer reads, shuts down sending and waits up to 1 s for the peer to close.
     * `closed` follows.
     */
    void closeGracefully(ConnectionId connection);
    /**
     * Makes every later close of the connection a reset, also the one at the end of this process, unless
     * `closeGracefully` has written all that was queued. The peer then detects that what it received is incomplete.
     */
    void resetOnClose(ConnectionId connection);
    /** Writes what is queued as long as the peer reads, then closes the connection. `closed` follows. */
    void closeAfterWriting(ConnectionId connection);
    /** @return 1-based index of the accepting listener in the order of `listen`; 0 for an outgoing connection. */
    std::size_t listenerIndex(ConnectionId connection) const;
    /** Closes a connection immediately; `closed` is not called. */
    void close(ConnectionId connection);
    /** Sets the largest message accepted on a connection. */
    void setMaxMessageBytes(ConnectionId connection, std::size_t bytes);

private:
    struct Connection {
        Poco::Net::StreamSocket socket;
        std::unique_ptr<StreamDecoder> decoder;
        std::string outbound;
        std::size_t bytesWritten { 0 };
        std::uint64_t totalBytesWritten { 0 };
        bool established { false };
        std::size_t listenerIndex { 0 };
        /** Received messages wait until the handler can take them; reading is paused meanwhile. */
        bool deliveryPending { false };
        /** Reading was switched off by `setReadEnabled`. */
        bool readDisabled { false };
        /** Graceful close: queued bytes are still written, received bytes are dropped. */
        bool closing { false };
        /** The graceful close ends without a shutdown of the sending side. */
        bool closesWithoutShutdown { false };
        /** The socket resets the connection when it is closed. */
        bool resetsOnClose { false };
        /** Bytes beyond the outbound limit were dropped; the next flush closes the connection. */
        bool overflowed { false };
        /** Events registered with the poll set; 0 when the socket is not in it. */
        int pollMode { 0 };
        Instant connectDeadline;
        /** Reason to give if the connection is not established by the deadline. */
        std::string_view connectFailure { "not_connected" };
        Instant closeDeadline;
    };

    void run();
    void runOnce(Instant& nextTick);
    Milliseconds pollTimeout(Instant nextTick) const;
    void handleWake();
    void handleAccept(Poco::Net::ServerSocket& listener);
    void handleSocket(const Poco::Net::Socket& socket, int events);
    void handleTick(Instant now);
    void closeExpired(Instant now);
    void establish(ConnectionId id);
    void finishConnect(ConnectionId id);
    /** Reports a connection that was not established by its deadline, unless it is closed. */
    void failConnect(ConnectionId id);
    void readFrom(ConnectionId id);
    /** @return false when the handler could not take all received messages. */
    bool deliverMessages(ConnectionId id);
    void shutDownWriting(Connection& connection);
    void resumeDelivery();
    void flushPending();
    void flush(ConnectionId id);
    void updatePollMode(Connection& connection);
    void fail(ConnectionId id, std::string_view reason);
    Connection* find(ConnectionId id);
    const Connection* find(ConnectionId id) const;
    ConnectionId addConnection(Poco::Net::StreamSocket socket, bool established);

    Poco::Net::PollSet pollSet;
    WakeChannel wakeUps;
    SocketLoopOptions options;
    std::vector<Poco::Net::ServerSocket> listeners;
    std::uint16_t listeningPort { 0 };
    bool accepting { false };
    std::map<ConnectionId, Connection> connections;
    std::map<Poco::Net::Socket, ConnectionId> connectionsBySocket;
    std::set<ConnectionId> pendingFlush;
    std::set<ConnectionId> pendingDelivery;
    std::uint64_t lastConnection { 0 };
    std::atomic<std::uint64_t> bytesSent { 0 };
    std::atomic<std::uint64_t> bytesReceived { 0 };
    std::atomic<std::uint64_t> openConnections { 0 };
    std::atomic<bool> stopping { false };
    SocketHandler* handler { nullptr };
    std::thread thread;
};

}
