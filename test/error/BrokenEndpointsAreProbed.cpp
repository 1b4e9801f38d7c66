#include "support/RawServer.h"
#include "support/Timing.h"
#include "support/TrafficHarness.h"

#include <doctest/doctest.h>

#include <array>

using namespace teaselfold;

namespace {

/** An endpoint that takes one request and ends its connection without an answer. */
class LosingEndpoint {
public:
    LosingEndpoint() { this->listener.listen(); }

    Address address() const { return { "127.0.0.1", this->listener.address().port() }; }
    /** Reads the beginning of a request. @param crashes the endpoint stops listening before the connection ends. */
    void loseRequest(bool crashes)
    {
        std::array<char, 256> chunk {};
        Poco::Net::StreamSocket connection = this->listener.acceptConnection();
        connection.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
        if (crashes)
            this->listener.close();
        connection.close();
    }

private:
    Poco::Net::ServerSocket listener { Poco::Net::SocketAddress("127.0.0.1", 0) };
};

}

// Guards against crashes that are noticed only if another request happens to come: nobody else calls the endpoint.
TEST_CASE("An endpoint that ended a connection and refuses the next one has crashed")
{
    LosingEndpoint endpoint;
    const TrafficHarness harness(endpoint.address());
    auto caller = harness.connect();
    TrafficHarness::sendRequest(caller, "/write/1", "a1");
    endpoint.loseRequest(true);
    CHECK(TrafficHarness::readResponse(caller).starts_with("HTTP/1.1 502"));
    CHECK(becomesTrue([&] { return harness.loggedCount("endpoint_crashed") == 1; }));
    CHECK(harness.loggedField("endpoint_probed", "outcome") == "refused");
}

// Guards against lost answers that count as crashes.
TEST_CASE("An endpoint that ended a connection and accepts the next one has not crashed")
{
    LosingEndpoint endpoint;
    const TrafficHarness harness(endpoint.address());
    auto caller = harness.connect();
    for (int request = 0; request < 3; ++request) {
        TrafficHarness::sendRequest(caller, "/write/1", "a1");
        endpoint.loseRequest(false);
        CHECK(TrafficHarness::readResponse(caller).starts_with("HTTP/1.1 502"));
        const auto probes = static_cast<std::size_t>(request) + 1;
        CHECK(becomesTrue([&] { return harness.loggedCount("endpoint_probed") == probes; }));
        CHECK(harness.loggedField("endpoint_probed", "outcome") == "accepted");
        // The probe waits in the listener's queue.
        endpoint.loseRequest(false);
    }
    CHECK(harness.loggedCount("endpoint_crashed") == 0);
}
