#include "adapters/net/SocketLoop.h"

#include "adapters/net/SocketWrite.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>
#include <vector>

namespace teaselfold {

namespace {

    /** Poll timeout while the handler's ring is full. */
    constexpr Milliseconds fullRingRetryInterval(5);
    constexpr std::size_t readChunkBytes = 65536;
    /** Longest wait for the peer during a graceful close, after all that was queued is written. */
    constexpr Milliseconds gracefulCloseTimeout(1000);
    /** Time without progress after which a graceful close gives up writing. */
    constexpr Milliseconds stalledWriteTimeout(10000);

    Poco::Net::SocketAddress socketAddress(const Address& address) { return { address.host, address.port }; }

}

SocketLoop::SocketLoop(SocketLoopOptions loopOptions)
    : options(std::move(loopOptions))
{
    this->pollSet.add(this->wakeUps.socket(), Poco::Net::PollSet::POLL_READ);
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

void SocketLoop::start(SocketHandler& socketHandler)
{
    this->handler = &socketHandler;
    this->thread = std::thread([this] { this->run(); });
}

void SocketLoop::stop()
{
    this->stopping = true;
    this->wake();
    if (this->thread.joinable())
        this->thread.join();
}

void SocketLoop::run()
{
    Instant nextTick = std::chrono::steady_clock::now() + this->options.tickPeriod;
    while (!this->stopping)
        this->runOnce(nextTick);
    this->handler->woken();
    this->flushPending();
    this->connections.clear();
    this->connectionsBySocket.clear();
    this->listeners.clear();
}

void SocketLoop::runOnce(Instant& nextTick)
{
    const auto wait = Poco::Timespan(Microseconds(this->pollTimeout(nextTick)).count());
    for (const auto& [socket, events] : this->pollSet.poll(wait))
        this->handleSocket(socket, events);
    this->resumeDelivery();
    const Instant now = std::chrono::steady_clock::now();
    if (now >= nextTick) {
        this->handleTick(now);
        nextTick = now + this->options.tickPeriod;
    }
    this->flushPending();
}

Milliseconds SocketLoop::pollTimeout(Instant nextTick) const
{
    const auto untilTick = std::chrono::ceil<Milliseconds>(nextTick - std::chrono::steady_clock::now());
    const Milliseconds maxWait = this->handler->canReceive() ? this->options.tickPeriod : fullRingRetryInterval;
    return std::clamp(untilTick, Milliseconds(1), maxWait);
}

void SocketLoop::handleSocket(const Poco::Net::Socket& socket, int events)
{
    if (socket == this->wakeUps.socket())
        return this->handleWake();
    const auto listener = std::find(this->listeners.begin(), this->listeners.end(), socket);
    if (listener != this->listeners.end())
        return this->handleAccept(*listener);
    const auto found = this->connectionsBySocket.find(socket);
    if (found == this->connectionsBySocket.end())
        return;
    const ConnectionId id = found->second;
    Connection* connection = this->find(id);
    if (!connection->established)
        return this->finishConnect(id);
    if (events & (Poco::Net::PollSet::POLL_READ | Poco::Net::PollSet::POLL_ERROR))
        this->readFrom(id);
    if (events & Poco::Net::PollSet::POLL_WRITE)
        this->pendingFlush.insert(id);
}

void SocketLoop::handleWake()
{
    this->wakeUps.reset();
    this->handler->woken();
}

void SocketLoop::handleAccept(Poco::Net::ServerSocket& listener)
{
    // Another listener found no descriptor in this iteration; all of them have left the poll set.
    if (!this->accepting)
        return;
    try {
        Poco::Net::StreamSocket socket = listener.acceptConnection();
        if (this->connections.size() >= this->options.maxConnections)
            return;
        const ConnectionId id = this->addConnection(socket, false);
        this->find(id)->listenerIndex = static_cast<std::size_t>(&listener - this->listeners.data()) + 1;
        this->establish(id);
    } catch (const Poco::Exception&) {
        // Out of file descriptors, or the peer has already disconnected: accepting resumes at the next tick.
        for (const auto& each : this->listeners)
            this->pollSet.remove(each);
        this->accepting = false;
    }
}

void SocketLoop::closeExpired(Instant now)
{
    std::vector<ConnectionId> connectTimedOut;
    std::vector<ConnectionId> closeTimedOut;
    for (const auto& [id, connection] : this->connections) {
        if (!connection.established && now >= connection.connectDeadline)
            connectTimedOut.push_back(id);
        else if (connection.closing && now >= connection.closeDeadline)
            closeTimedOut.push_back(id);
    }
    for (const ConnectionId id : connectTimedOut)
        this->failConnect(id);
    for (const ConnectionId id : closeTimedOut)
        this->fail(id, "finished");
}

void SocketLoop::handleTick(Instant now)
{
    if (!this->listeners.empty() && !this->accepting) {
        for (const auto& listener : this->listeners)
            this->pollSet.add(listener, Poco::Net::PollSet::POLL_READ);
        this->accepting = true;
    }
    this->closeExpired(now);
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

ConnectionId SocketLoop::addConnection(Poco::Net::StreamSocket socket, bool established)
{
    const ConnectionId id(++this->lastConnection);
    Connection& connection = this->connections[id];
    connection.socket = socket;
    connection.decoder = this->options.makeDecoder();
    connection.established = established;
    connection.connectDeadline = Instant::min();
    this->connectionsBySocket[socket] = id;
    this->openConnections.store(this->connections.size());
    return id;
}

ConnectionId SocketLoop::connect(const Address& address, Milliseconds timeout)
{
    const ConnectionId id = this->addConnection(Poco::Net::StreamSocket(), false);
    Connection& connection = *this->find(id);
    try {
        this->connectionsBySocket.erase(connection.socket);
        connection.socket.connectNB(socketAddress(address));
        this->connectionsBySocket[connection.socket] = id;
        connection.connectDeadline = std::chrono::steady_clock::now() + timeout;
        this->updatePollMode(connection);
    } catch (const Poco::Exception& error) {
        // The expired deadline makes the next tick report the failure.
        connection.connectDeadline = Instant::min();
        if (error.code() == POCO_ECONNREFUSED)
            connection.connectFailure = ConnectionClosure::refused;
    }
    return id;
}

void SocketLoop::failConnect(ConnectionId id)
{
    // The handler may have closed the connection when an earlier one failed.
    if (const Connection* connection = this->find(id))
        this->fail(id, connection->connectFailure);
}

void SocketLoop::finishConnect(ConnectionId id)
{
    const Connection* connection = this->find(id);
    if (const int error = connection->socket.impl()->socketError(); error != 0)
        return this->fail(id, error == POCO_ECONNREFUSED ? ConnectionClosure::refused : "not_connected");
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
    this->updatePollMode(connection);
    this->handler->connected(id);
}

void SocketLoop::updatePollMode(Connection& connection)
{
    int wanted = 0;
    if (connection.established && !connection.deliveryPending && !connection.readDisabled)
        wanted |= Poco::Net::PollSet::POLL_READ;
    if (!connection.established || connection.bytesWritten < connection.outbound.size())
        wanted |= Poco::Net::PollSet::POLL_WRITE;
    if (wanted == connection.pollMode)
        return;
    // A socket without wanted events leaves the poll set, because poll would report a hang-up continuously.
    if (connection.pollMode == 0)
        this->pollSet.add(connection.socket, wanted | Poco::Net::PollSet::POLL_ERROR);
    else if (wanted == 0)
        this->pollSet.remove(connection.socket);
    else
        this->pollSet.update(connection.socket, wanted | Poco::Net::PollSet::POLL_ERROR);
    connection.pollMode = wanted;
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
        return this->fail(id, ConnectionClosure::closedByPeer);
    if (count < 0)
        return;
    this->bytesReceived.fetch_add(static_cast<std::uint64_t>(count), std::memory_order_relaxed);
    if (connection.closing)
        return;
    connection.decoder->append({ chunk.data(), static_cast<std::size_t>(count) });
    this->deliverMessages(id);
}

bool SocketLoop::deliverMessages(ConnectionId id)
{
    while (Connection* connection = this->find(id)) {
        if (connection->closing || connection->readDisabled)
            return true;
        if (!this->handler->canReceive()) {
            connection->deliveryPending = true;
            this->pendingDelivery.insert(id);
            this->updatePollMode(*connection);
            return false;
        }
        const auto next = connection->decoder->next();
        if (std::holds_alternative<MessageIncomplete>(next))
            return true;
        if (std::holds_alternative<MessageTooLarge>(next)) {
            this->fail(id, "frame_too_large");
            return true;
        }
        if (!this->handler->received(id, *std::get_if<std::string>(&next)))
            this->close(id);
    }
    return true;
}

void SocketLoop::resumeDelivery()
{
    while (!this->pendingDelivery.empty() && this->handler->canReceive()) {
        const ConnectionId id = *this->pendingDelivery.begin();
        this->pendingDelivery.erase(this->pendingDelivery.begin());
        Connection* connection = this->find(id);
        if (!connection)
            continue;
        connection->deliveryPending = false;
        if (!this->deliverMessages(id))
            return;
        if ((connection = this->find(id)))
            this->updatePollMode(*connection);
    }
}

void SocketLoop::send(ConnectionId id, std::string_view bytes)
{
    Connection* connection = this->find(id);
    if (!connection)
        return;
    this->pendingFlush.insert(id);
    if (connection->outbound.size() - connection->bytesWritten + bytes.size() > this->options.maxOutboundBytes)
        connection->overflowed = true;
    else
        connection->outbound.append(bytes);
}

LinkTraffic SocketLoop::traffic() const
{
    return { this->bytesSent.load(), this->bytesReceived.load(), this->openConnections.load() };
}

void SocketLoop::flushPending()
{
    while (!this->pendingFlush.empty()) {
        const ConnectionId id = *this->pendingFlush.begin();
        this->pendingFlush.erase(this->pendingFlush.begin());
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
    while (connection->bytesWritten < connection->outbound.size()) {
        const auto count
            = writeSome(connection->socket, std::string_view(connection->outbound).substr(connection->bytesWritten));
        if (!count)
            return this->fail(id, "write_failed");
        if (*count == 0)
            break;
        connection->bytesWritten += *count;
        connection->totalBytesWritten += *count;
        this->bytesSent.fetch_add(*count, std::memory_order_relaxed);
        connection->closeDeadline = std::chrono::steady_clock::now() + stalledWriteTimeout;
    }
    if (connection->bytesWritten >= readChunkBytes || connection->bytesWritten == connection->outbound.size()) {
        connection->outbound.erase(0, connection->bytesWritten);
        connection->bytesWritten = 0;
        if (connection->outbound.empty() && connection->outbound.capacity() > readChunkBytes)
            connection->outbound.shrink_to_fit();
    }
    this->updatePollMode(*connection);
    if (!connection->outbound.empty())
        return;
    if (connection->closesWithoutShutdown)
        this->fail(id, "finished");
    else if (connection->closing)
        this->shutDownWriting(*connection);
    else
        this->handler->drained(id);
}

void SocketLoop::shutDownWriting(Connection& connection)
{
    connection.closeDeadline = std::chrono::steady_clock::now() + gracefulCloseTimeout;
    try {
        if (connection.resetsOnClose)
            connection.socket.setLinger(false, 0);
        connection.socket.shutdownSend();
    } catch (const Poco::Exception&) {
        // The peer closed first: the next tick closes the connection.
        connection.closeDeadline = Instant::min();
    }
}

std::size_t SocketLoop::queuedBytes(ConnectionId id) const
{
    const Connection* connection = this->find(id);
    return connection ? connection->outbound.size() - connection->bytesWritten : 0;
}

std::uint64_t SocketLoop::writtenBytes(ConnectionId id) const
{
    const Connection* connection = this->find(id);
    return connection ? connection->totalBytesWritten : 0;
}

std::size_t SocketLoop::listenerIndex(ConnectionId id) const
{
    const Connection* connection = this->find(id);
    return connection ? connection->listenerIndex : 0;
}

void SocketLoop::setReadEnabled(ConnectionId id, bool enabled)
{
    Connection* connection = this->find(id);
    if (!connection || connection->readDisabled == !enabled)
        return;
    connection->readDisabled = !enabled;
    if (enabled) {
        // Messages received earlier are delivered by the loop, never from within this call, so that the handler is not
        // re-entered.
        connection->deliveryPending = true;
        this->pendingDelivery.insert(id);
    }
    this->updatePollMode(*connection);
}

void SocketLoop::closeGracefully(ConnectionId id)
{
    Connection* connection = this->find(id);
    if (!connection || connection->closing)
        return;
    connection->closing = true;
    connection->readDisabled = false;
    connection->closeDeadline = std::chrono::steady_clock::now() + stalledWriteTimeout;
    this->updatePollMode(*connection);
    this->pendingFlush.insert(id);
}

void SocketLoop::resetOnClose(ConnectionId id)
{
    Connection* connection = this->find(id);
    if (!connection)
        return;
    try {
        connection->socket.setLinger(true, 0);
        connection->resetsOnClose = true;
    } catch (const Poco::Exception&) {
        // The connection has already failed; the next read reports it.
    }
}

void SocketLoop::closeAfterWriting(ConnectionId id)
{
    this->closeGracefully(id);
    if (Connection* connection = this->find(id))
        connection->closesWithoutShutdown = true;
}

void SocketLoop::close(ConnectionId id)
{
    Connection* connection = this->find(id);
    if (!connection)
        return;
    if (connection->pollMode != 0)
        this->pollSet.remove(connection->socket);
    this->connectionsBySocket.erase(connection->socket);
    this->pendingDelivery.erase(id);
    this->pendingFlush.erase(id);
    connection->socket.close();
    this->connections.erase(id);
    this->openConnections.store(this->connections.size());
}

void SocketLoop::fail(ConnectionId id, std::string_view reason)
{
    const ConnectionClosure closure { reason, this->queuedBytes(id) };
    this->close(id);
    this->handler->closed(id, closure);
}

void SocketLoop::setMaxMessageBytes(ConnectionId id, std::size_t bytes)
{
    if (Connection* connection = this->find(id))
        connection->decoder->setMaximum(bytes);
}

}
