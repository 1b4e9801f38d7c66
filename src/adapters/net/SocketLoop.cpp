#include "adapters/net/SocketLoop.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>
#include <sys/socket.h>
#include <vector>

namespace teaselfold {

namespace {

    /** Wait before a full ring is tried again. */
    constexpr Milliseconds retryPeriod(5);
    constexpr std::size_t readChunkBytes = 65536;
    constexpr std::size_t largestWrite = std::size_t { 1 } << 20;
    /** How long a connection that is being closed in order may wait for its peer. */
    constexpr Milliseconds finishTimeout(1000);

    Poco::Net::SocketAddress socketAddress(const Address& address) { return { address.host, address.port }; }

}

SocketLoop::SocketLoop(SocketLoopOptions loopOptions)
    : options(std::move(loopOptions))
{
    const Poco::Net::SocketAddress anyPort("127.0.0.1", 0);
    this->wakeReceiver.bind(anyPort);
    this->wakeSender.bind(anyPort);
    this->wakeReceiver.connect(this->wakeSender.address());
    this->wakeSender.connect(this->wakeReceiver.address());
    this->wakeReceiver.setBlocking(false);
    this->wakeSender.setBlocking(false);
    this->pollSet.add(this->wakeReceiver, Poco::Net::PollSet::POLL_READ);
}

bool SocketLoop::listen(const Address& address)
{
    try {
        Poco::Net::ServerSocket listener;
        listener.bind(socketAddress(address), true);
        listener.listen();
        listener.setBlocking(false);
        this->listeningPort = listener.address().port();
        this->listeners.push_back(listener);
    } catch (const Poco::Exception&) {
        return false;
    }
    return true;
}

void SocketLoop::start(SocketHandler& owner)
{
    this->handler = &owner;
    this->thread = std::thread([this] { this->run(); });
}

void SocketLoop::stop()
{
    this->stopping = true;
    this->wake();
    if (this->thread.joinable())
        this->thread.join();
}

void SocketLoop::wake()
{
    if (this->wakePending.exchange(true))
        return;
    try {
        const char byte = 0;
        this->wakeSender.sendBytes(&byte, 1);
    } catch (const Poco::Exception&) {
        // The loop also looks for commands at each tick.
        this->wakePending = false;
    }
}

void SocketLoop::run()
{
    Instant nextTick = std::chrono::steady_clock::now() + this->options.tickPeriod;
    while (!this->stopping)
        this->iterate(nextTick);
    this->handler->woken();
    this->flushDirty();
    this->connections.clear();
    this->bySocket.clear();
    this->listeners.clear();
}

void SocketLoop::iterate(Instant& nextTick)
{
    const auto wait = Poco::Timespan(Microseconds(this->pollWait(nextTick)).count());
    for (const auto& [socket, mode] : this->pollSet.poll(wait))
        this->handleSocket(socket, mode);
    this->resumePaused();
    const Instant now = std::chrono::steady_clock::now();
    if (now >= nextTick) {
        this->handleTick(now);
        nextTick = now + this->options.tickPeriod;
    }
    this->flushDirty();
}

Milliseconds SocketLoop::pollWait(Instant nextTick) const
{
    const auto untilTick = std::chrono::ceil<Milliseconds>(nextTick - std::chrono::steady_clock::now());
    const Milliseconds longest = this->handler->ready() ? this->options.tickPeriod : retryPeriod;
    return std::clamp(untilTick, Milliseconds(1), longest);
}

void SocketLoop::handleSocket(const Poco::Net::Socket& socket, int mode)
{
    if (socket == this->wakeReceiver)
        return this->handleWake();
    const auto listener = std::find(this->listeners.begin(), this->listeners.end(), socket);
    if (listener != this->listeners.end())
        return this->handleAccept(*listener);
    const auto found = this->bySocket.find(socket);
    if (found == this->bySocket.end())
        return;
    const ConnectionId id = found->second;
    Connection* connection = this->find(id);
    if (!connection->established)
        return this->finishConnect(id);
    if (mode & (Poco::Net::PollSet::POLL_READ | Poco::Net::PollSet::POLL_ERROR))
        this->readFrom(id);
    if (mode & Poco::Net::PollSet::POLL_WRITE)
        this->dirty.insert(id);
}

void SocketLoop::handleWake()
{
    std::array<char, 16> bytes {};
    try {
        this->wakeReceiver.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
    } catch (const Poco::Exception&) {
        // Nothing to read: the wake-up was taken before.
    }
    this->wakePending = false;
    this->handler->woken();
}

void SocketLoop::handleAccept(Poco::Net::ServerSocket& listener)
{
    try {
        Poco::Net::StreamSocket socket = listener.acceptConnection();
        if (this->connections.size() >= this->options.maximumConnections)
            return;
        const ConnectionId id = this->adopt(socket, false);
        this->find(id)->listener = static_cast<std::size_t>(&listener - this->listeners.data()) + 1;
        this->establish(id);
    } catch (const Poco::Exception&) {
        // Out of descriptors, or the peer is gone already: the next tick accepts again.
        for (const auto& each : this->listeners)
            this->pollSet.remove(each);
        this->accepting = false;
    }
}

void SocketLoop::closeLate(Instant now)
{
    std::vector<ConnectionId> unconnected;
    std::vector<ConnectionId> unfinished;
    for (const auto& [id, connection] : this->connections) {
        if (!connection.established && now >= connection.connectBy)
            unconnected.push_back(id);
        else if (connection.finishing && now >= connection.finishBy)
            unfinished.push_back(id);
    }
    for (const ConnectionId id : unconnected)
        this->fail(id, "not_connected");
    for (const ConnectionId id : unfinished)
        this->fail(id, "finished");
}

void SocketLoop::handleTick(Instant now)
{
    if (!this->listeners.empty() && !this->accepting) {
        for (const auto& listener : this->listeners)
            this->pollSet.add(listener, Poco::Net::PollSet::POLL_READ);
        this->accepting = true;
    }
    this->closeLate(now);
    this->handler->woken();
    this->handler->tick(now);
}

const SocketLoop::Connection* SocketLoop::find(ConnectionId id) const
{
    const auto found = this->connections.find(id);
    return found == this->connections.end() ? nullptr : &found->second;
}

SocketLoop::Connection* SocketLoop::find(ConnectionId id)
{
    const auto found = this->connections.find(id);
    return found == this->connections.end() ? nullptr : &found->second;
}

ConnectionId SocketLoop::adopt(Poco::Net::StreamSocket socket, bool established)
{
    const ConnectionId id(++this->lastConnection);
    Connection& connection = this->connections[id];
    connection.socket = socket;
    connection.inbound = this->options.makeSplitter();
    connection.established = established;
    connection.connectBy = Instant::min();
    this->bySocket[socket] = id;
    this->openConnections.store(this->connections.size());
    return id;
}

ConnectionId SocketLoop::connect(const Address& address, Milliseconds timeout)
{
    const ConnectionId id = this->adopt(Poco::Net::StreamSocket(), false);
    Connection& connection = *this->find(id);
    try {
        this->bySocket.erase(connection.socket);
        connection.socket.connectNB(socketAddress(address));
        this->bySocket[connection.socket] = id;
        connection.connectBy = std::chrono::steady_clock::now() + timeout;
        this->updateMode(connection);
    } catch (const Poco::Exception&) {
        // The next tick finds the connection late and reports it.
        connection.connectBy = Instant::min();
    }
    return id;
}

void SocketLoop::finishConnect(ConnectionId id)
{
    const Connection* connection = this->find(id);
    if (connection->socket.impl()->socketError() != 0)
        return this->fail(id, "not_connected");
    try {
        this->establish(id);
    } catch (const Poco::Exception&) {
        this->fail(id, "not_connected");
    }
}

void SocketLoop::establish(ConnectionId id)
{
    Connection& connection = *this->find(id);
    connection.socket.setBlocking(false);
    connection.socket.setNoDelay(true);
    connection.established = true;
    this->updateMode(connection);
    this->handler->connected(id);
}

void SocketLoop::updateMode(Connection& connection)
{
    int wanted = 0;
    if (connection.established && !connection.paused && !connection.held)
        wanted |= Poco::Net::PollSet::POLL_READ;
    if (!connection.established || connection.written < connection.outbound.size())
        wanted |= Poco::Net::PollSet::POLL_WRITE;
    if (wanted == connection.mode)
        return;
    // A socket with nothing to wait for leaves the set, since a hang-up would be reported again and again.
    if (connection.mode == 0)
        this->pollSet.add(connection.socket, wanted | Poco::Net::PollSet::POLL_ERROR);
    else if (wanted == 0)
        this->pollSet.remove(connection.socket);
    else
        this->pollSet.update(connection.socket, wanted | Poco::Net::PollSet::POLL_ERROR);
    connection.mode = wanted;
}

void SocketLoop::readFrom(ConnectionId id)
{
    Connection& connection = *this->find(id);
    std::array<char, readChunkBytes> chunk; // NOLINT: filled by the read
    int count = 0;
    try {
        count = connection.socket.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
    } catch (const Poco::Exception&) {
        return this->fail(id, "read_failed");
    }
    if (count == 0)
        return this->fail(id, "closed_by_peer");
    if (count < 0)
        return;
    this->bytesReceived.fetch_add(static_cast<std::uint64_t>(count), std::memory_order_relaxed);
    if (connection.finishing)
        return;
    connection.inbound->append({ chunk.data(), static_cast<std::size_t>(count) });
    this->pumpPieces(id);
}

bool SocketLoop::pumpPieces(ConnectionId id)
{
    while (Connection* connection = this->find(id)) {
        if (connection->finishing || connection->held)
            return true;
        if (!this->handler->ready()) {
            connection->paused = true;
            this->paused.insert(id);
            this->updateMode(*connection);
            return false;
        }
        const auto next = connection->inbound->next();
        if (std::holds_alternative<PieceIncomplete>(next))
            return true;
        if (std::holds_alternative<PieceTooLarge>(next)) {
            this->fail(id, "frame_too_large");
            return true;
        }
        if (!this->handler->received(id, *std::get_if<std::string>(&next)))
            this->close(id);
    }
    return true;
}

void SocketLoop::resumePaused()
{
    while (!this->paused.empty() && this->handler->ready()) {
        const ConnectionId id = *this->paused.begin();
        this->paused.erase(this->paused.begin());
        Connection* connection = this->find(id);
        if (!connection)
            continue;
        connection->paused = false;
        if (!this->pumpPieces(id))
            return;
        if ((connection = this->find(id)))
            this->updateMode(*connection);
    }
}

void SocketLoop::send(ConnectionId id, std::string_view bytes)
{
    Connection* connection = this->find(id);
    if (!connection)
        return;
    this->dirty.insert(id);
    if (connection->outbound.size() - connection->written + bytes.size() > this->options.maximumOutboundBytes)
        connection->overflowed = true;
    else
        connection->outbound.append(bytes);
}

LinkTraffic SocketLoop::traffic() const
{
    return { this->bytesSent.load(), this->bytesReceived.load(), this->openConnections.load() };
}

void SocketLoop::flushDirty()
{
    while (!this->dirty.empty()) {
        const ConnectionId id = *this->dirty.begin();
        this->dirty.erase(this->dirty.begin());
        this->flush(id);
    }
}

void SocketLoop::flush(ConnectionId id)
{
    Connection* connection = this->find(id);
    if (!connection || !connection->established)
        return;
    if (connection->overflowed)
        return this->fail(id, "peer_too_slow");
    try {
        while (connection->written < connection->outbound.size()) {
            const std::size_t left = connection->outbound.size() - connection->written;
            const int count = connection->socket.sendBytes(connection->outbound.data() + connection->written,
                static_cast<int>(std::min(left, largestWrite)), MSG_NOSIGNAL);
            if (count <= 0)
                break;
            connection->written += static_cast<std::size_t>(count);
            this->bytesSent.fetch_add(static_cast<std::uint64_t>(count), std::memory_order_relaxed);
        }
    } catch (const Poco::Exception&) {
        return this->fail(id, "write_failed");
    }
    if (connection->written >= readChunkBytes || connection->written == connection->outbound.size()) {
        connection->outbound.erase(0, connection->written);
        connection->written = 0;
    }
    this->updateMode(*connection);
    if (!connection->outbound.empty())
        return;
    if (connection->finishing)
        this->shutDownWriting(*connection);
    else
        this->handler->drained(id);
}

void SocketLoop::shutDownWriting(Connection& connection)
{
    try {
        connection.socket.shutdownSend();
    } catch (const Poco::Exception&) {
        // The peer closed first: the next tick ends the connection.
        connection.finishBy = Instant::min();
    }
}

std::size_t SocketLoop::queuedBytes(ConnectionId id) const
{
    const Connection* connection = this->find(id);
    return connection ? connection->outbound.size() - connection->written : 0;
}

std::size_t SocketLoop::listenerOf(ConnectionId id) const
{
    const Connection* connection = this->find(id);
    return connection ? connection->listener : 0;
}

void SocketLoop::setReading(ConnectionId id, bool reading)
{
    Connection* connection = this->find(id);
    if (!connection || connection->held == !reading)
        return;
    connection->held = !reading;
    if (reading) {
        // What was received before is handed on by the loop, never from within the owner's call.
        connection->paused = true;
        this->paused.insert(id);
    }
    this->updateMode(*connection);
}

void SocketLoop::finish(ConnectionId id)
{
    Connection* connection = this->find(id);
    if (!connection || connection->finishing)
        return;
    connection->finishing = true;
    connection->held = false;
    connection->finishBy = std::chrono::steady_clock::now() + finishTimeout;
    this->updateMode(*connection);
    this->dirty.insert(id);
}

void SocketLoop::close(ConnectionId id)
{
    Connection* connection = this->find(id);
    if (!connection)
        return;
    if (connection->mode != 0)
        this->pollSet.remove(connection->socket);
    this->bySocket.erase(connection->socket);
    this->paused.erase(id);
    this->dirty.erase(id);
    connection->socket.close();
    this->connections.erase(id);
    this->openConnections.store(this->connections.size());
}

void SocketLoop::fail(ConnectionId id, std::string_view reason)
{
    this->close(id);
    this->handler->closed(id, reason);
}

void SocketLoop::setMaximumPiece(ConnectionId id, std::size_t bytes)
{
    if (Connection* connection = this->find(id))
        connection->inbound->setMaximum(bytes);
}

}
