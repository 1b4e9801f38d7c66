#pragma once

#include "support/RawServer.h"

#include <string>
#include <vector>

namespace teaselfold {

/** What a store does with a call: the bytes that it sends at once, and those that it repeats now and then. */
struct StoreBehavior {
    std::string name;
    std::string beginning;
    std::string repeated;
};

/** @return behaviors of stores that stay connected and never complete an answer. */
inline std::vector<StoreBehavior> behaviorsWithoutAnswer()
{
    return {
        { "silent after the request", "", "" },
        { "silent within the head", "HTTP/1.1 200 OK\r\nX-A: ", "" },
        { "a byte of the head now and then", "HTTP/1.1 200 OK\r\nX-A: ", "a" },
        { "silent within the body", "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{", "" },
        { "a byte of the body now and then", "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{", " " },
        { "chunks now and then", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n", "1\r\n \r\n" },
    };
}

/** A store that never completes an answer, and stays connected until it is destroyed. */
class UselessStore {
public:
    explicit UselessStore(StoreBehavior behavior)
        : behavior(std::move(behavior))
        , server([this](RawServer::Connection& connection) { this->serve(connection); })
    {
    }

    Address address() const { return this->server.address(); }
    /** @return the number of calls of which the behavior's beginning was sent. */
    std::size_t calls() const { return this->receivedCalls; }

private:
    void serve(RawServer::Connection& connection)
    {
        constexpr Milliseconds repeatInterval(50);
        constexpr Seconds silence(60);
        if (!connection.readHead() || !connection.send(this->behavior.beginning))
            return;
        ++this->receivedCalls;
        if (this->behavior.repeated.empty())
            return connection.wait(silence);
        while (connection.send(this->behavior.repeated))
            connection.wait(repeatInterval);
    }

    StoreBehavior behavior;
    std::atomic<std::size_t> receivedCalls { 0 };
    RawServer server;
};

}
