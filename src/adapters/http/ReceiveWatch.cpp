#include "adapters/http/ReceiveWatch.h"

#include <Poco/Exception.h>

#include <algorithm>

namespace teaselfold {

ReceiveWatch::ReceiveWatch(Milliseconds limit)
    : limit(limit)
{
    this->thread = std::thread([this] { this->run(); });
}

ReceiveWatch::~ReceiveWatch() { this->stop(); }

void ReceiveWatch::begin(const Poco::Net::StreamSocket& socket)
{
    const std::string peer = socket.peerAddress().toString();
    const Instant until = std::chrono::steady_clock::now() + this->limit;
    {
        std::lock_guard lock(this->mutex);
        this->connections.insert_or_assign(peer, Watched { socket, until });
    }
    this->changed.notify_one();
}

void ReceiveWatch::received(const std::string& peer)
{
    std::lock_guard lock(this->mutex);
    this->connections.erase(peer);
}

void ReceiveWatch::stop()
{
    {
        std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    if (this->thread.joinable())
        this->thread.join();
}

void ReceiveWatch::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        if (this->connections.empty())
            this->changed.wait(lock);
        else
            this->changed.wait_until(lock, this->nextDeadline());
        this->shutDownOverdue(std::chrono::steady_clock::now());
    }
}

void ReceiveWatch::shutDownOverdue(Instant now)
{
    for (auto place = this->connections.begin(); place != this->connections.end();) {
        if (place->second.until > now) {
            ++place;
            continue;
        }
        try {
            place->second.socket.shutdown();
        } catch (const Poco::Exception&) {
            // The peer closed the connection first.
        }
        place = this->connections.erase(place);
    }
}

Instant ReceiveWatch::nextDeadline() const
{
    const auto earlier = [](const auto& left, const auto& right) { return left.second.until < right.second.until; };
    return std::min_element(this->connections.begin(), this->connections.end(), earlier)->second.until;
}

}
