#include "support/CallerServerHarness.h"
#include "support/Timing.h"

#include <Poco/Exception.h>

#include <doctest/doctest.h>

#include <future>

using namespace teaselfold;

namespace {

constexpr Seconds exitTime(1);

/** Sends the bytes one by one until the server closes, but not for ever. */
void sendSlowly(Poco::Net::StreamSocket socket, const std::string& bytes)
{
    constexpr Milliseconds byteInterval(20);
    try {
        for (const char byte : bytes) {
            // Anything to read is the end of the connection, since no request is complete.
            if (socket.poll(Poco::Timespan(Microseconds(byteInterval).count()), Poco::Net::Socket::SELECT_READ))
                return;
            socket.sendBytes(&byte, 1);
        }
    } catch (const Poco::Exception&) {
        // The server has closed the connection.
    }
}

}

// Guards against an exit that waits for callers who send no whole request.
TEST_CASE("A caller server stops in time while requests are being received")
{
    for (const std::string beginning : { "", "POST /v1/completions HTTP/1.1\r\nX-A: ",
             "POST /v1/completions HTTP/1.1\r\nTeaselfold-Team: team\r\nContent-Length: 1000\r\n\r\n{" }) {
        CAPTURE(beginning);
        auto harness = std::make_unique<CallerServerHarness>();
        const auto idle = harness->sendRaw(beginning);
        auto slow = std::async(
            std::launch::async, [socket = harness->sendRaw(beginning)] { sendSlowly(socket, std::string(150, ' ')); });
        // The server gives no sign of a request that it only receives in part.
        Poco::Thread::sleep(100);
        CHECK(timeOf([&] { harness.reset(); }) < exitTime);
        slow.wait();
    }
}
