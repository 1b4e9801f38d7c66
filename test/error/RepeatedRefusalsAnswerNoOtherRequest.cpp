#include "support/RawServer.h"
#include "support/TrafficHarness.h"

#include <doctest/doctest.h>

#include <map>

using namespace teaselfold;

namespace {

/** Responses that belong to no request of the connection on which they come. */
std::vector<std::string> foreignResponses()
{
    const std::string refused = "X-Teaselfold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    const std::string ofAnother = "X-Teaselfold-Attempt-Id: request-of-another\r\n";
    return { "HTTP/1.1 503 Full\r\n" + refused, "HTTP/1.1 503 Full\r\n" + ofAnother + refused,
        "HTTP/1.1 429 Slow Down\r\n" + refused, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 421 Misdirected\r\n" + ofAnother + "Content-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\nX-Teaselfold-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
        "HTTP/1.1 400 No Id\r\nX-Teaselfold-Server-Signature: s\r\n" + refused,
        "HTTP/1.1 200 OK\r\nX-Teaselfold-Server-Signature: s\r\nContent-Length: 4\r\n\r\nevil",
        "HTTP/1.1 500 Broken\r\nX-Teaselfold-Server-Signature: s\r\nContent-Length: 0\r\n\r\n" };
}

/** When a foreign response is written, relative to the responses of the connection. */
enum class Moment : std::uint8_t {
    WithTheResponseBefore,
    WhileIdle,
    BeforeTheResponse,
    TwiceBeforeTheResponse,
};

/** An endpoint that runs each request it receives and also writes foreign responses on kept connections. */
class RepeatingEndpoint {
public:
    RepeatingEndpoint(std::string foreignResponse, Moment moment)
        : foreign(std::move(foreignResponse))
        , moment(moment)
        , server([this](RawServer::Connection& connection) { this->serve(connection); })
    {
    }

    Address address() const { return this->server.address(); }
    std::size_t runsOf(const std::string& id)
    {
        const std::lock_guard lock(this->mutex);
        return this->runs[id];
    }

private:
    void serve(RawServer::Connection& connection)
    {
        for (std::size_t served = 0; const auto head = connection.readHead(); ++served) {
            const std::string id = headField(*head, "X-Teaselfold-Attempt-Id");
            {
                const std::lock_guard lock(this->mutex);
                ++this->runs[id];
            }
            const bool isKept = served > 0;
            if (isKept && this->moment == Moment::BeforeTheResponse)
                connection.send(this->foreign);
            if (isKept && this->moment == Moment::TwiceBeforeTheResponse)
                connection.send(this->foreign + this->foreign);
            connection.wait(Milliseconds(30));
            if (this->moment == Moment::WithTheResponseBefore) {
                connection.send(signedResponse(id) + this->foreign);
                continue;
            }
            connection.send(signedResponse(id));
            if (this->moment == Moment::WhileIdle) {
                connection.wait(Milliseconds(20));
                connection.send(this->foreign);
            }
        }
    }

    std::string foreign;
    Moment moment;
    std::mutex mutex;
    std::map<std::string, std::size_t> runs;
    RawServer server;
};

}

// Guards against callers who are told "not run, try again" for a request that runs, and against its second run.
TEST_CASE("A refusal that an endpoint writes once more on a kept connection answers no other request")
{
    for (const Moment moment : { Moment::WithTheResponseBefore, Moment::WhileIdle, Moment::BeforeTheResponse,
             Moment::TwiceBeforeTheResponse }) {
        for (const std::string& foreign : foreignResponses()) {
            CAPTURE(static_cast<int>(moment));
            CAPTURE(foreign);
            RepeatingEndpoint endpoint(foreign, moment);
            TrafficHarness harness(endpoint.address());
            EndpointRecord second = GatewayScenario::plainEndpoint("p5");
            second.address = endpoint.address();
            harness.changeEndpoint(second);
            auto caller = harness.connect();
            for (int number = 0; number < 4; ++number) {
                const std::string id = "request-" + std::to_string(number);
                TrafficHarness::sendRequest(caller, "/write/1", id);
                const std::string answer = TrafficHarness::readResponse(caller);
                CHECK(answer.starts_with("HTTP/1.1 200"));
                CHECK(answer.ends_with("\r\n\r\nanswer to " + id));
                CHECK(endpoint.runsOf(id) == 1);
                if (headField(answer, "Connection") == "close")
                    caller = harness.connect();
            }
        }
    }
}

// Guards against a pooled connection to an endpoint whose responses cannot be told apart.
TEST_CASE("A connection is not used again after a response without the request's id")
{
    std::atomic<int> connections { 0 };
    RawServer endpoint([&](RawServer::Connection& connection) {
        ++connections;
        while (connection.readHead())
            connection.send("HTTP/1.1 200 OK\r\nX-Teaselfold-Server-Signature: s\r\nContent-Length: 2\r\n\r\nok");
    });
    const TrafficHarness harness(endpoint.address());
    auto caller = harness.connect();
    constexpr int requests = 3;
    for (int number = 0; number < requests; ++number) {
        TrafficHarness::sendRequest(caller, "/write/1", "request-" + std::to_string(number));
        CHECK(TrafficHarness::readResponse(caller).ends_with("\r\n\r\nok"));
    }
    CHECK(connections == requests);
}
