#pragma once

#include "adapters/link/FrameBuffer.h"
#include "ports/Fleet.h"
#include "ports/LinkTraffic.h"
#include "ports/Time.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace teaselfold {

/** One TCP connection of a socket loop. Never reused within a process. */
using ConnectionId = Id<struct ConnectionTag, std::uint64_t>;

/** What happens with the connections of a loop. Called on the loop's thread only. */
class SocketHandler {
public:
    virtual ~SocketHandler() = default;
    /** The connection is established. */
    virtual void connected(ConnectionId connection) = 0;
    /** A whole frame came. @return false to close the connection; `closed` is not called then. */
    virtual bool received(ConnectionId connection, std::string_view frame) = 0;
    /** The connection ended or was never established. Not called after `SocketLoop::close`. */
    virtual void closed(ConnectionId connection, std::string_view reason) = 0;
    /** @return true when further frames can be taken; while it is false the loop reads from no socket. */
    virtual bool ready() = 0;
    /** The loop was woken: handles the commands that wait. */
    virtual void woken() = 0;
    /** Called at a fixed period. */
    virtual void tick(Instant now) = 0;
};

/**
 * One thread that waits on sockets and carries frames. Reads and writes never block; bytes that wait for a slow peer
 * are bounded, and a connection over the bound is closed.
 */
class SocketLoop {
public:
    SocketLoop();
    ~SocketLoop() { this->stop(); }
    SocketLoop(const SocketLoop&) = delete;
    SocketLoop& operator=(const SocketLoop&) = delete;

    /** Accepts connections. Before `start` only. @return false when the address cannot be bound. */
    bool listen(const Address& address);
    /** @return the port listened on, also when port 0 was asked for; 0 when nothing is listened on. */
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
    /** Closes a connection at once and forgets it. */
    void close(ConnectionId connection);
    /** Changes the largest frame accepted on a connection. */
    void setMaximumFrame(ConnectionId connection, std::size_t bytes);

private:
    struct Connection {
        Poco::Net::StreamSocket socket;
        FrameBuffer inbound { maximumHelloBytes };
        std::string outbound;
        std::size_t written { 0 };
        bool established { false };
        bool paused { false };
        /** Bytes were dropped over the bound: the connection is closed when it is flushed. */
        bool overflowed { false };
        int mode { 0 };
        Instant connectBy;
    };

    void run();
    void iterate(Instant& nextTick);
    Milliseconds pollWait(Instant nextTick) const;
    void handleWake();
    void handleAccept();
    void handleSocket(const Poco::Net::Socket& socket, int mode);
    void handleTick(Instant now);
    void establish(ConnectionId id);
    void finishConnect(ConnectionId id);
    void readFrom(ConnectionId id);
    bool pumpFrames(ConnectionId id);
    void resumePaused();
    void flushDirty();
    void flush(ConnectionId id);
    void updateMode(Connection& connection);
    void fail(ConnectionId id, std::string_view reason);
    Connection* find(ConnectionId id);
    ConnectionId adopt(Poco::Net::StreamSocket socket, bool established);

    Poco::Net::PollSet pollSet;
    Poco::Net::DatagramSocket wakeReceiver;
    Poco::Net::DatagramSocket wakeSender;
    std::optional<Poco::Net::ServerSocket> listener;
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
