#pragma once

#include "adapters/net/StreamSplitter.h"
#include "ports/Fleet.h"
#include "ports/Ids.h"
#include "ports/LinkTraffic.h"
#include "ports/Time.h"

#include <Poco/Net/DatagramSocket.h>
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

/** One TCP connection of a socket loop. Never reused within a process. */
using ConnectionId = Id<struct ConnectionTag, std::uint64_t>;

/** What happens with the connections of a loop. Called on the loop's thread only. */
class SocketHandler {
public:
    virtual ~SocketHandler() = default;
    /** The connection is established. */
    virtual void connected(ConnectionId connection) = 0;
    /** A whole piece came. @return false to close the connection; `closed` is not called then. */
    virtual bool received(ConnectionId connection, std::string_view piece) = 0;
    /** The connection ended or was never established. Not called after `SocketLoop::close`. */
    virtual void closed(ConnectionId connection, std::string_view reason) = 0;
    /** All bytes queued for the connection were written. */
    virtual void drained(ConnectionId) { }
    /** @return true when further pieces can be taken; while it is false the loop reads from no socket. */
    virtual bool ready() = 0;
    /** The loop was woken: handles the commands that wait. */
    virtual void woken() = 0;
    /** Called at a fixed period. */
    virtual void tick(Instant now) = 0;
};

/** What differs between loops. */
struct SocketLoopOptions {
    /** Makes the splitter of a new connection. */
    std::function<std::unique_ptr<StreamSplitter>()> makeSplitter;
    /** Bytes that may wait for a slow peer; a connection over it is closed. */
    std::size_t maximumOutboundBytes { 0 };
    std::size_t maximumConnections { 4096 };
    Milliseconds tickPeriod { 100 };
};

/**
 * One thread that waits on sockets and carries bytes. Reads and writes never block; bytes that wait for a slow peer
 * are bounded, and a connection over the bound is closed.
 */
class SocketLoop {
public:
    explicit SocketLoop(SocketLoopOptions options);
    ~SocketLoop() { this->stop(); }
    SocketLoop(const SocketLoop&) = delete;
    SocketLoop& operator=(const SocketLoop&) = delete;

    /** Accepts connections; for several addresses too. Before `start` only. @return false when it cannot be bound. */
    bool listen(const Address& address);
    /** @return the port of the last address listened on, also when port 0 was asked for; 0 when there is none. */
    std::uint16_t port() const { return this->listeningPort; }
    /** @return what went over all connections. From any thread. */
    LinkTraffic traffic() const;
    /** Starts the thread. @param handler must outlive the loop's run. */
    void start(SocketHandler& handler);
    /** Sends what can be sent at once, closes all connections and joins the thread. Idempotent. */
    void stop();
    /** Makes the loop call `SocketHandler::woken`. From any thread. */
    void wake();

    // On the loop's thread only.

    /** Begins a connection; `connected` or `closed` follows. */
    ConnectionId connect(const Address& address, Milliseconds timeout);
    /** Queues bytes; they are written when the handler returns. */
    void send(ConnectionId connection, std::string_view bytes);
    /** @return bytes that wait for the peer. */
    std::size_t queuedBytes(ConnectionId connection) const;
    /** Takes no more bytes from the peer, or takes them again. */
    void setReading(ConnectionId connection, bool reading);
    /** Closes a connection in order: writes what is queued and waits a little for the peer's end. `closed` follows. */
    void finish(ConnectionId connection);
    /** @return which listening address took the connection, from 1 in the order of `listen`; 0 for one of our own. */
    std::size_t listenerOf(ConnectionId connection) const;
    /** Closes a connection at once and forgets it. */
    void close(ConnectionId connection);
    /** Changes the largest piece accepted on a connection. */
    void setMaximumPiece(ConnectionId connection, std::size_t bytes);

private:
    struct Connection {
        Poco::Net::StreamSocket socket;
        std::unique_ptr<StreamSplitter> inbound;
        std::string outbound;
        std::size_t written { 0 };
        bool established { false };
        std::size_t listener { 0 };
        bool paused { false };
        /** The owner takes no bytes for now. */
        bool held { false };
        /** Only what is queued is still written; what comes is dropped. */
        bool finishing { false };
        /** Bytes were dropped over the bound: the connection is closed when it is flushed. */
        bool overflowed { false };
        int mode { 0 };
        Instant connectBy;
        Instant finishBy;
    };

    void run();
    void iterate(Instant& nextTick);
    Milliseconds pollWait(Instant nextTick) const;
    void handleWake();
    void handleAccept(Poco::Net::ServerSocket& listener);
    void handleSocket(const Poco::Net::Socket& socket, int mode);
    void handleTick(Instant now);
    void closeLate(Instant now);
    void establish(ConnectionId id);
    void finishConnect(ConnectionId id);
    void readFrom(ConnectionId id);
    bool pumpPieces(ConnectionId id);
    void shutDownWriting(Connection& connection);
    void resumePaused();
    void flushDirty();
    void flush(ConnectionId id);
    void updateMode(Connection& connection);
    void fail(ConnectionId id, std::string_view reason);
    Connection* find(ConnectionId id);
    const Connection* find(ConnectionId id) const;
    ConnectionId adopt(Poco::Net::StreamSocket socket, bool established);

    Poco::Net::PollSet pollSet;
    Poco::Net::DatagramSocket wakeReceiver;
    Poco::Net::DatagramSocket wakeSender;
    SocketLoopOptions options;
    std::vector<Poco::Net::ServerSocket> listeners;
    std::uint16_t listeningPort { 0 };
    bool accepting { false };
    std::map<ConnectionId, Connection> connections;
    std::map<Poco::Net::Socket, ConnectionId> bySocket;
    std::set<ConnectionId> dirty;
    std::set<ConnectionId> paused;
    std::uint64_t lastConnection { 0 };
    std::atomic<std::uint64_t> bytesSent { 0 };
    std::atomic<std::uint64_t> bytesReceived { 0 };
    std::atomic<std::uint64_t> openConnections { 0 };
    std::atomic<bool> wakePending { false };
    std::atomic<bool> stopping { false };
    SocketHandler* handler { nullptr };
    std::thread thread;
};

}
