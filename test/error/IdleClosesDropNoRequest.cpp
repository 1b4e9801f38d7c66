#include "support/RawServer.h"
#include "support/TrafficHarness.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

/** @return true if the peer has reset the connection within the time. */
bool isReset(Poco::Net::StreamSocket& socket, Milliseconds time)
{
    const auto end = std::chrono::steady_clock::now() + time;
    const std::string line = "X-Filler: 1\r\n";
    try {
        while (std::chrono::steady_clock::now() < end) {
            socket.sendBytes(line.data(), static_cast<int>(line.size()));
            std::this_thread::sleep_for(Milliseconds(10));
        }
    } catch (const Poco::Exception&) {
        return true;
    }
    return false;
}

}

// Guards against a request that crosses the close of its idle connection, is read and discarded, and gets no answer:
// its caller cannot tell it from one that has run.
TEST_CASE("A request that crosses the close of an idle connection by a stopping gateway is not read")
{
    RawServer endpoint([](RawServer::Connection&) {});
    TrafficHarness harness(endpoint.address());
    Poco::Net::StreamSocket caller = harness.connect();
    harness.requestStop();
    char byte = 0;
    REQUIRE(caller.receiveBytes(&byte, 1) == 0);
    CHECK(isReset(caller, Milliseconds(500)));
}
