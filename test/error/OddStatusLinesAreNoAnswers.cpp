#include "adapters/engine/HttpConnection.h"
#include "adapters/platform/PlatformSession.h"
#include "platform/StoreClient.h"
#include "support/EngineCalls.h"
#include "support/RawServer.h"
#include "support/RouterHarness.h"
#include "support/ServiceCalls.h"
#include "support/TrafficHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

const std::string oddStatusLines[] = { "HTTP/1.1 000 OK", "HTTP/1.1 000", "HTTP/1.0 000 OK", "HTTP/1.1 020 OK",
    "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 2x0 OK",
    "HTTP/1.1 0xC OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "SSH-2.0 200 OK",
    "noise 200 OK" };

/** Answers each request with a head that has the given status line, and a whole body. */
class OddServer {
public:
    OddServer(std::string statusLine, std::string body)
        : server([line = std::move(statusLine), text = std::move(body)](RawServer::Connection& connection) {
            auto head = connection.readHead();
            while (head && connection.readBody(*head)) {
                connection.send(line + "\r\nX-Teaselfold-Server-Signature: s\r\nContent-Length: "
                    + std::to_string(text.size()) + "\r\n\r\n" + text);
                head = connection.readHead();
            }
        })
    {
    }

    Address address() const { return this->server.address(); }

private:
    RawServer server;
};

/** Calls a function with each odd status line. */
template <typename Function> void forEachOddLine(const Function& function)
{
    for (const std::string& line : oddStatusLines) {
        CAPTURE(line);
        function(line);
    }
}

}

// Guards against an endpoint in trouble whose answer with status 000 reaches a caller as an answer.
TEST_CASE("A head with an odd status line is no answer to a gateway's caller")
{
    forEachOddLine([](const std::string& line) {
        for (const std::string path : { "/write/1", "/draft/1" }) {
            const OddServer endpoint(line, "body");
            const TrafficHarness harness(endpoint.address());
            auto caller = harness.connect();
            TrafficHarness::sendRequest(caller, path, "a1");
            CHECK(TrafficHarness::readResponse(caller).starts_with("HTTP/1.1 502"));
        }
    });
}

// The same for a service behind an agent, whose answers the entry passes on.
TEST_CASE("A service's answer with an odd status line has an unknown outcome")
{
    forEachOddLine([](const std::string& line) {
        const OddServer service(line, "body");
        const auto event = callService(service.address());
        const auto* failed = std::get_if<ServiceCallFailed>(&event);
        REQUIRE(failed);
        CHECK(failed->run == Executed::Unknown);
    });
}

// Guards against a start that counts as refused, and is sent to another engine, on the word of no answer.
TEST_CASE("A start whose answer has an odd status line is lost, not refused")
{
    forEachOddLine([](const std::string& line) {
        const OddServer engine(line, "");
        CHECK(std::holds_alternative<EngineStreamLost>(startAtEngine(engine.address())));
    });
}

TEST_CASE("An engine's answer to a call with an odd status line is none")
{
    forEachOddLine([](const std::string& line) {
        const OddServer engine(line, "{}");
        const auto result
            = Internal::exchange(BoundedSocket(), engine.address(), Milliseconds(5000), "GET", "/load", "");
        CHECK_FALSE(result.received);
    });
}

// Guards against configurations and records that are taken from bytes of another protocol.
TEST_CASE("A store's answer with an odd status line is a fault")
{
    forEachOddLine([](const std::string& line) {
        const OddServer store(line, R"({"rows":[],"hasMore":false,"rowVersion":7,"nowMs":1})");
        PlatformApi::StoreClient client(store.address(), Milliseconds(5000));
        CHECK(std::holds_alternative<PlatformApi::StoreFault>(client.list("op", "")));
        CHECK(client.write("table", { "key", "value", false }));
    });
}

TEST_CASE("An answer of the platform's table with an odd status line leaves the outcome of a write unknown")
{
    forEachOddLine([](const std::string& line) {
        const OddServer platform(line, "{}");
        Internal::PlatformSession session(platform.address(), Milliseconds(5000));
        const auto result = session.execute(TableErase { "key", 1 });
        const auto* unavailable = std::get_if<PlatformUnavailable>(&result);
        REQUIRE(unavailable);
        CHECK(unavailable->sent);
    });
}

// Guards against an agent of another version, or a recorded answer, that hands the entry what is no answer.
TEST_CASE("A call that an agent answers with an odd status fails with an unknown outcome")
{
    for (const std::uint16_t status : { 0, 99, 100, 101, 103, 600, 999 }) {
        CAPTURE(status);
        RouterHarness harness;
        harness.connect("p-1");
        harness.requestCall("POST");
        const auto calls = harness.sentToAgents<SubmitCall>();
        REQUIRE(calls.size() == 1);
        harness.clear();
        harness.deliverFromAgent(calls[0].first, CallAnswered { calls[0].second.call, status, {}, "body", false });
        CHECK(harness.sentToCallers<CallerServiceResponse>().empty());
        const auto failures = harness.sentToCallers<CallerFailure>();
        REQUIRE(failures.size() == 1);
        CHECK(failures[0].failure.run == Executed::Unknown);
    }
}
