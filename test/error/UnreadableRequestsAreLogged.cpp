#include "support/RawServer.h"
#include "support/TrafficHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

// Guards against requests that the gateway ends while it reads them, of which no line of the log tells.
TEST_CASE("A request whose body cannot be read is logged with its id")
{
    RawServer endpoint([](RawServer::Connection&) {});
    TrafficHarness harness(endpoint.address());
    Poco::Net::StreamSocket caller = harness.connect();
    const std::string request = "POST /write/1 HTTP/1.1\r\nHost: host.example\r\nX-Teaselfold-Attempt-Id: caller-1\r\n"
                                "Transfer-Encoding: chunked\r\n\r\nnone\r\n";
    caller.sendBytes(request.data(), static_cast<int>(request.size()));
    CHECK(TrafficHarness::readUntilClosed(caller).starts_with("HTTP/1.1 400 "));
    CHECK(harness.loggedField("unreadable", "request") == "caller-1");
    CHECK(harness.loggedField("unreadable", "status") == "400");
    CHECK(harness.loggedField("unreadable", "reason") == "malformed body");
}
