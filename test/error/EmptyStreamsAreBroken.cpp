#include "support/RawServer.h"
#include "support/TrafficHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

// Guards against an engine that crashes after the head of a stream without length or chunks: its orderly close would
// end the stream for the caller, and the crash would not count against the prompt.
TEST_CASE("A stream that ends with its connection before any event is not complete")
{
    const std::string head
        = "HTTP/1.1 200 OK\r\nX-Teaselfold-Server-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n";
    for (const std::string events : { "", ": keep-alive\n\n", "id: 1\ndata: a\n\n" }) {
        CAPTURE(events);
        const RawServer endpoint([&](RawServer::Connection& connection) {
            if (connection.readHead())
                connection.send(head + events);
        });
        const TrafficHarness harness(endpoint.address());
        auto caller = harness.connect();
        TrafficHarness::sendRequest(caller, "/draft/1", "caller-1");
        const std::string response = TrafficHarness::readChunkedResponse(caller);
        CHECK(response.starts_with("HTTP/1.1 200"));
        CHECK(response.ends_with("0\r\n\r\n") == (events.find("data:") != std::string::npos));
    }
}
