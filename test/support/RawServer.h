#pragma once

#include "ports/Fleet.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace teaselfold {

/** A TCP server on loopback that sends whatever a test wants, whether or not it is a valid message. */
class RawServer {
public:
    /** One accepted connection. Its functions return false or nothing when the peer has closed it. */
    class Connection {
    public:
        Connection(const Poco::Net::StreamSocket& socket, RawServer& server)
            : socket(socket)
            , server(server)
        {
        }

        /** Reads up to the end of a message head. Bytes of a body are left for the next call. */
        std::optional<std::string> readHead();
        /** Reads the body of the last head, as its length declares. */
        std::optional<std::string> readBody(const std::string& head);
        bool send(const std::string& bytes);
        /** Sends the bytes again and again until the peer closes or the limit is reached. */
        void sendWithoutEnd(const std::string& bytes, std::size_t maxBytes);
        /** Waits while the server runs. */
        void wait(Milliseconds time);
        /** Waits until the condition holds or the server stops. */
        void waitUntil(const std::function<bool()>& condition);
        /** Resets the connection instead of closing it in an orderly way. */
        void reset();

    private:
        /** @return false when the server stops before there is anything to read. */
        bool waitForBytes();
        /** @return false when the peer has closed the connection or the server stops. */
        bool readByte(char& byte);

        Poco::Net::StreamSocket socket;
        RawServer& server;
    };

    /** @param serve called on a thread of its own for each connection; the connection is closed when it returns. */
    explicit RawServer(std::function<void(Connection&)> serve);
    ~RawServer();
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    Address address() const { return { "127.0.0.1", this->listener.address().port() }; }
    /** @return the number of bytes that all connections have sent. */
    std::size_t sentBytes() const { return this->sent; }

private:
    void accept();

    std::function<void(Connection&)> serve;
    Poco::Net::ServerSocket listener;
    std::atomic<std::size_t> sent { 0 };
    std::atomic<bool> stopping { false };
    std::list<std::thread> connections;
    std::thread acceptor;
};

/** @return an endpoint's whole response to a request of the prepared platform, whose body names the request's id. */
std::string signedResponse(const std::string& id);

/** @return the value of a field of a message head; empty when there is none. */
std::string headField(const std::string& head, const std::string& name);

}
