#include "support/RawServer.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Thread.h>

#include <algorithm>
#include <array>

namespace teaselfold {

namespace {

    constexpr std::string_view headEnd = "\r\n\r\n";
    /** Bounds the delay until a stop is noticed. */
    constexpr Milliseconds pollInterval(20);

    Poco::Timespan toTimespan(Milliseconds time) { return Poco::Timespan(Microseconds(time).count()); }

}

std::optional<std::string> RawServer::Connection::readHead()
{
    try {
        std::string head;
        while (!head.ends_with(headEnd)) {
            char byte = 0;
            if (!this->readByte(byte))
                return std::nullopt;
            head.push_back(byte);
        }
        return head;
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

std::optional<std::string> RawServer::Connection::readBody(const std::string& head)
{
    try {
        std::string body;
        std::array<char, 65536> buffer {};
        const std::string lengthText = headField(head, "Content-Length");
        const std::size_t length = lengthText.empty() ? 0 : std::stoul(lengthText);
        while (body.size() < length) {
            if (!this->waitForBytes())
                return std::nullopt;
            const std::size_t left = std::min(length - body.size(), buffer.size());
            const int count = this->socket.receiveBytes(buffer.data(), static_cast<int>(left));
            if (count <= 0)
                return std::nullopt;
            body.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return body;
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

bool RawServer::Connection::waitForBytes()
{
    while (!this->socket.poll(toTimespan(pollInterval), Poco::Net::Socket::SELECT_READ)) {
        if (this->server.stopping)
            return false;
    }
    return true;
}

bool RawServer::Connection::readByte(char& byte)
{
    return this->waitForBytes() && this->socket.receiveBytes(&byte, 1) > 0;
}

bool RawServer::Connection::send(const std::string& bytes)
{
    try {
        std::size_t done = 0;
        while (done < bytes.size()) {
            while (!this->socket.poll(toTimespan(pollInterval), Poco::Net::Socket::SELECT_WRITE)) {
                if (this->server.stopping)
                    return false;
            }
            const int count = this->socket.sendBytes(bytes.data() + done, static_cast<int>(bytes.size() - done));
            if (count <= 0)
                return false;
            done += static_cast<std::size_t>(count);
            this->server.sent += static_cast<std::size_t>(count);
        }
        return true;
    } catch (const Poco::Exception&) {
        return false;
    }
}

void RawServer::Connection::sendWithoutEnd(const std::string& bytes, std::size_t maxBytes)
{
    constexpr std::size_t blockBytes = 16384;
    std::string block;
    while (block.size() < blockBytes)
        block += bytes;
    for (std::size_t sent = 0; sent < maxBytes && this->send(block); sent += block.size()) { }
}

void RawServer::Connection::wait(Milliseconds time)
{
    const Instant end = std::chrono::steady_clock::now() + time;
    while (!this->server.stopping && std::chrono::steady_clock::now() < end)
        Poco::Thread::sleep(1);
}

void RawServer::Connection::waitUntil(const std::function<bool()>& condition)
{
    while (!this->server.stopping && !condition())
        Poco::Thread::sleep(1);
}

void RawServer::Connection::reset()
{
    this->socket.setLinger(true, 0);
    this->socket.close();
}

RawServer::RawServer(std::function<void(Connection&)> serveConnection)
    : serve(std::move(serveConnection))
    , listener(Poco::Net::SocketAddress("127.0.0.1", 0))
    , acceptor([this] { this->accept(); })
{
}

RawServer::~RawServer()
{
    this->stopping = true;
    this->acceptor.join();
    for (std::thread& connection : this->connections)
        connection.join();
}

void RawServer::accept()
{
    while (!this->stopping) {
        if (!this->listener.poll(toTimespan(pollInterval), Poco::Net::Socket::SELECT_READ))
            continue;
        Poco::Net::StreamSocket socket = this->listener.acceptConnection();
        socket.setBlocking(false);
        this->connections.emplace_back([this, socket] {
            Connection connection(socket, *this);
            this->serve(connection);
        });
    }
}

std::string signedResponse(const std::string& id)
{
    const std::string body = "answer to " + id;
    return "HTTP/1.1 200 OK\r\nX-Teaselfold-Attempt-Id: " + id
        + "\r\nX-Teaselfold-Server-Signature: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string headField(const std::string& head, const std::string& name)
{
    const std::string prefix = "\r\n" + name + ": ";
    const std::size_t begin = head.find(prefix);
    if (begin == std::string::npos)
        return {};
    const std::size_t value = begin + prefix.size();
    return head.substr(value, head.find("\r\n", value) - value);
}

}
