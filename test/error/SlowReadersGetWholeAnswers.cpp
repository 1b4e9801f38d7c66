#include "support/RawServer.h"
#include "support/TrafficHarness.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Thread.h>

#include <doctest/doctest.h>

#include <netinet/tcp.h>

using namespace teaselfold;

namespace {

/** More than the buffers of both sockets hold together. */
constexpr std::size_t answerBytes = std::size_t { 6 } * 1024 * 1024;
constexpr std::size_t eventBytes = 2000;
/** A pause that a caller's connection must bear; callers give up after longer ones. */
constexpr Milliseconds pause(2800);
constexpr std::size_t bytesBeforePause = 50000;

/** A caller behind a link with small segments and a small window, which fills up soon. */
class SlowCaller {
public:
    explicit SlowCaller(const Address& gateway)
        : socket(Poco::Net::SocketAddress::IPv4)
    {
        constexpr int segmentBytes = 1448;
        constexpr int windowBytes = 32768;
        this->socket.setOption(IPPROTO_TCP, TCP_MAXSEG, segmentBytes);
        this->socket.setReceiveBufferSize(windowBytes);
        this->socket.connect(Poco::Net::SocketAddress(gateway.host, gateway.port));
        this->socket.setReceiveTimeout(Poco::Timespan(20, 0));
    }

    void send(const std::string& bytes) { this->socket.sendBytes(bytes.data(), static_cast<int>(bytes.size())); }

    /** Reads a little, pauses, and reads on until the text or the end of the connection. @return all that was read. */
    std::string readSlowly(const std::string& end)
    {
        std::string text;
        this->read(text, "", bytesBeforePause);
        Poco::Thread::sleep(pause.count());
        this->read(text, end, std::string::npos);
        return text;
    }

private:
    void read(std::string& text, const std::string& end, std::size_t bytes)
    {
        std::array<char, 16384> buffer {};
        try {
            while (text.size() < bytes && (end.empty() || !text.ends_with(end))) {
                const int count = this->socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
                if (count <= 0)
                    return;
                text.append(buffer.data(), static_cast<std::size_t>(count));
            }
        } catch (const Poco::Exception&) {
            // A reset or a timeout ends the reading too.
        }
    }

    Poco::Net::StreamSocket socket;
};

std::string requestFor(const std::string& path, const std::string& fields, const std::string& body = "")
{
    return "POST " + path + " HTTP/1.1\r\nHost: host.example\r\nX-Api-Key: key-a\r\nX-Teaselfold-Attempt-Id: a1\r\n"
        + "X-Teaselfold-Deadline-Ms: 30000\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

const std::string signedHead = "HTTP/1.1 200 OK\r\nX-Teaselfold-Attempt-Id: a1\r\nX-Teaselfold-Server-Signature: s\r\n";

std::string bodyOf(const std::string& response) { return response.substr(response.find("\r\n\r\n") + 4); }

}

// Guards against a full send buffer that counts as a broken connection: answers of callers who pause are lost.
TEST_CASE("A caller that pauses in the middle of a large answer gets it whole")
{
    const std::string body(answerBytes, 'x');
    RawServer endpoint([&](RawServer::Connection& connection) {
        while (connection.readHead())
            connection.send(signedHead + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    });
    const TrafficHarness harness(endpoint.address());
    for (const std::string& fields : { std::string(), std::string("Connection: close\r\n") }) {
        CAPTURE(fields);
        SlowCaller caller(harness.callerAddress());
        caller.send(requestFor("/write/1", fields));
        CHECK(bodyOf(caller.readSlowly("x" + std::string(answerBytes - 1, 'x'))).size() == answerBytes);
    }
}

TEST_CASE("A caller that pauses in the middle of a stream gets all of its events")
{
    constexpr std::size_t events = answerBytes / eventBytes;
    RawServer endpoint([&](RawServer::Connection& connection) {
        if (!connection.readHead())
            return;
        connection.send(signedHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (std::size_t id = 1; id <= events; ++id) {
            std::string event = "id: " + std::to_string(id) + "\ndata: ";
            event += std::string(eventBytes - event.size() - 2, 't') + "\n\n";
            if (!connection.send("7d0\r\n" + event + "\r\n"))
                return;
        }
        connection.send("0\r\n\r\n");
        connection.readHead();
    });
    const TrafficHarness harness(endpoint.address());
    SlowCaller caller(harness.callerAddress());
    caller.send(requestFor("/draft/1", ""));
    const std::string stream = caller.readSlowly("\r\n0\r\n\r\n");
    CHECK(stream.ends_with("\r\n0\r\n\r\n"));
    CHECK(stream.find("id: " + std::to_string(events) + "\n") != std::string::npos);
}

// Guards against a request that fails because its endpoint reads the body more slowly than the gateway writes it.
TEST_CASE("An endpoint that reads slowly gets a large body whole")
{
    const std::string body(std::size_t { 4 } * 1024 * 1024, 'b');
    RawServer endpoint([&](RawServer::Connection& connection) {
        const auto head = connection.readHead();
        if (!head)
            return;
        connection.wait(Milliseconds(1500));
        const auto received = connection.readBody(*head);
        if (received == body)
            connection.send(signedHead + "Content-Length: 2\r\n\r\nok");
    });
    const TrafficHarness harness(endpoint.address());
    auto caller = harness.connect();
    const std::string request = requestFor("/write/1", "", body);
    caller.sendBytes(request.data(), static_cast<int>(request.size()));
    CHECK(TrafficHarness::readResponse(caller).ends_with("\r\n\r\nok"));
}
