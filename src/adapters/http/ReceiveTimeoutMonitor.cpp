#include "adapters/http/ReceiveTimeoutMonitor.h"

#include <Poco/Exception.h>

#include <algorithm>

namespace teaselfold {

ReceiveTimeoutMonitor::ReceiveTimeoutMonitor(Milliseconds timeout)
    : timeout(timeout)
{
    this->thread = std::thread([this] { this->run(); });
}

ReceiveTimeoutMonitor::~ReceiveTimeoutMonitor() { this->stop(); }

void ReceiveTimeoutMonitor::track(const Poco::Net::StreamSocket& socket)
{
    const std::string peer = socket.peerAddress().toString();
    const Instant deadline = std::chrono::steady_clock::now() + this->timeout;
    {
        std::lock_guard lock(this->mutex);
        PendingConnection connection { socket, deadline };
        if (this->stopping)
            return shutDown(connection.socket);
        this->pendingConnections.insert_or_assign(peer, std::move(connection));
    }
    this->wakeUp.notify_one();
}

void ReceiveTimeoutMonitor::stopTracking(const std::string& peer)
{
    std::lock_guard lock(this->mutex);
    this->pendingConnections.erase(peer);
}

void ReceiveTimeoutMonitor::limitDeadlines(Instant latest)
{
    {
        std::lock_guard lock(this->mutex);
        this->latestDeadline = latest;
    }
    this->wakeUp.notify_all();
}

void ReceiveTimeoutMonitor::stop()
{
    {
        std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->wakeUp.notify_all();
    if (this->thread.joinable())
        this->thread.join();
    std::lock_guard lock(this->mutex);
    this->shutDownExpired(Instant::max());
}

void ReceiveTimeoutMonitor::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        if (this->pendingConnections.empty())
            this->wakeUp.wait(lock);
        else
            this->wakeUp.wait_until(lock, this->nextDeadline());
        this->shutDownExpired(std::chrono::steady_clock::now());
    }
}

void ReceiveTimeoutMonitor::shutDownExpired(Instant now)
{
    for (auto connection = this->pendingConnections.begin(); connection != this->pendingConnections.end();) {
        if (std::min(connection->second.deadline, this->latestDeadline) > now) {
            ++connection;
            continue;
        }
        shutDown(connection->second.socket);
        connection = this->pendingConnections.erase(connection);
    }
}

void ReceiveTimeoutMonitor::shutDown(Poco::Net::StreamSocket& socket)
{
    try {
        socket.shutdown();
    } catch (const Poco::Exception&) {
        // The peer closed the connection first.
    }
}

Instant ReceiveTimeoutMonitor::nextDeadline() const
{
    const auto earlier
        = [](const auto& left, const auto& right) { return left.second.deadline < right.second.deadline; };
    const auto next = std::min_element(this->pendingConnections.begin(), this->pendingConnections.end(), earlier);
    return std::min(next->second.deadline, this->latestDeadline);
}

}
