#include "adapters/http/AdminServer.h"
#include "support/Timing.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <doctest/doctest.h>

#include <future>

using namespace teaselfold;

namespace {

constexpr Seconds exitTime(1);

std::uint16_t freePort()
{
    const Poco::Net::ServerSocket probe(Poco::Net::SocketAddress("127.0.0.1", 0));
    return probe.address().port();
}

/** A probe server on loopback whose metrics are larger than the buffers of a connection. */
class ProbeHarness {
public:
    ProbeHarness()
        : port(freePort())
        , server({ "127.0.0.1", this->port }, { [] { return true; }, [] { return std::string(32 << 20, 'x'); } })
    {
        REQUIRE_FALSE(this->server.start().has_value());
    }

    Poco::Net::StreamSocket sendRaw(const std::string& bytes) const
    {
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", this->port));
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        return socket;
    }

    std::uint16_t port;
    ProbeServer server;
};

/** Sends bytes one by one until the connection ends, but not for ever. */
void sendSlowly(Poco::Net::StreamSocket socket)
{
    constexpr Milliseconds byteInterval(20);
    constexpr int bytes = 150;
    try {
        for (int sent = 0; sent < bytes; ++sent) {
            if (socket.poll(Poco::Timespan(Microseconds(byteInterval).count()), Poco::Net::Socket::SELECT_READ))
                return;
            socket.sendBytes("x", 1);
        }
    } catch (const Poco::Exception&) {
        // The server has closed the connection.
    }
}

}

// Guards against an exit that waits for a scraper or an operator who sends no whole request.
TEST_CASE("An administration port stops in time while requests are being received")
{
    for (const std::string beginning :
        { "", "GET /metrics HTTP/1.1\r\nX-A: ", "POST /metrics HTTP/1.1\r\nContent-Length: 1000\r\n\r\n{" }) {
        CAPTURE(beginning);
        ProbeHarness harness;
        auto slow = std::async(std::launch::async, [socket = harness.sendRaw(beginning)] { sendSlowly(socket); });
        Poco::Thread::sleep(100);
        CHECK(timeOf([&] { harness.server.stop(); }) < exitTime);
        slow.wait();
    }
}

// Guards against an exit that waits for a scraper who does not read its response.
TEST_CASE("An administration port stops in time while a response is not read")
{
    ProbeHarness harness;
    Poco::Net::StreamSocket socket = harness.sendRaw("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
    Poco::Thread::sleep(200);
    auto stopped = std::async(std::launch::async, [&] { return timeOf([&] { harness.server.stop(); }); });
    const bool isInTime = stopped.wait_for(Seconds(5)) == std::future_status::ready;
    socket.close();
    CHECK(stopped.get() < exitTime);
    CHECK(isInTime);
}
