#include "support/RawServer.h"
#include "support/TrafficHarness.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Thread.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <netinet/tcp.h>

using namespace teaselfold;

namespace {

/** More than the buffers of both sockets hold together. */
constexpr std::size_t answerBytes = std::size_t { 6 } * 1024 * 1024;

/** @return a connection with small segments and a small window, which fills up soon. */
Poco::Net::StreamSocket connectSlowly(const Address& gateway)
{
    constexpr int segmentBytes = 1448;
    constexpr int windowBytes = 32768;
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress::IPv4);
    socket.setOption(IPPROTO_TCP, TCP_MAXSEG, segmentBytes);
    socket.setReceiveBufferSize(windowBytes);
    socket.connect(Poco::Net::SocketAddress(gateway.host, gateway.port));
    socket.setReceiveTimeout(Poco::Timespan(20, 0));
    return socket;
}

/** Reads that many bytes, and not what follows them. @return the number of bytes read. */
std::size_t readBytes(Poco::Net::StreamSocket& socket, std::size_t bytes)
{
    std::array<char, 16384> buffer {};
    std::size_t done = 0;
    while (done < bytes) {
        const auto wanted = std::min(bytes - done, buffer.size());
        const int count = socket.receiveBytes(buffer.data(), static_cast<int>(wanted));
        if (count <= 0)
            break;
        done += static_cast<std::size_t>(count);
    }
    return done;
}

std::string readHead(Poco::Net::StreamSocket& socket)
{
    std::string head;
    char byte = 0;
    while (!head.ends_with("\r\n\r\n") && socket.receiveBytes(&byte, 1) == 1)
        head.push_back(byte);
    return head;
}

/** @return true if the connection answers the request or is reset by a peer that has not read it, but not if it just
 * ends. */
bool isAnsweredOrReset(Poco::Net::StreamSocket& socket)
{
    try {
        TrafficHarness::sendRequest(socket, "/write/2", "a2");
        return readHead(socket).starts_with("HTTP/1.1 ");
    } catch (const Poco::TimeoutException&) {
        return false;
    } catch (const Poco::Exception&) {
        return true;
    }
}

}

// Guards against a request on a kept connection that is read and discarded because the end of the answer before it was
// still queued when a stopping gateway closed its idle connections.
TEST_CASE("A request after an answer that a stopping gateway was still writing is answered or not read")
{
    const std::string body(answerBytes, 'x');
    const std::string head = "HTTP/1.1 200 OK\r\nX-Teaselfold-Attempt-Id: a1\r\nX-Teaselfold-Server-Signature: s\r\n"
                             "Content-Length: "
        + std::to_string(body.size()) + "\r\n\r\n";
    RawServer endpoint([&](RawServer::Connection& connection) {
        while (connection.readHead())
            connection.send(head + body);
    });
    TrafficHarness harness(endpoint.address());
    Poco::Net::StreamSocket caller = connectSlowly(harness.callerAddress());
    TrafficHarness::sendRequest(caller, "/write/1", "a1");
    const std::string answerHead = readHead(caller);
    REQUIRE(answerHead.starts_with("HTTP/1.1 200"));
    REQUIRE(headField(answerHead, "Connection").empty());
    harness.requestStop();
    constexpr Milliseconds pastDrainDelay(2900);
    Poco::Thread::sleep(pastDrainDelay.count());
    REQUIRE(readBytes(caller, answerBytes) == answerBytes);
    CHECK(isAnsweredOrReset(caller));
}
