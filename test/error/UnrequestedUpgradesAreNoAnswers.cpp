#include "platform/StoreClient.h"
#include "support/EngineCalls.h"
#include "support/RawServer.h"
#include "support/ServiceCalls.h"
#include "support/TrafficHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

const std::string upgrade = "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n";
const std::string earlyHints = "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n";
const std::string signedAnswer = "HTTP/1.1 200 OK\r\nX-Teaselfold-Server-Signature: s\r\nContent-Length: 2\r\n\r\nok";

/** Answers each connection's first request with the bytes, and then neither closes nor sends anything. */
class SilentServer {
public:
    explicit SilentServer(std::string answer)
        : server([text = std::move(answer)](RawServer::Connection& connection) {
            const auto head = connection.readHead();
            if (head && connection.readBody(*head) && connection.send(text))
                connection.readHead();
        })
    {
    }

    Address address() const { return this->server.address(); }

private:
    RawServer server;
};

}

// Guards against an endpoint whose 101 costs its caller the whole deadline, since it counts as an interim response
// after which nothing follows. Callers who wait for the deadline get 504.
TEST_CASE("An endpoint that switches protocols without being asked has not answered")
{
    for (const std::string& before : { std::string(), earlyHints }) {
        for (const std::string path : { "/write/1", "/draft/1" }) {
            CAPTURE(before);
            CAPTURE(path);
            const SilentServer endpoint(before + upgrade);
            const TrafficHarness harness(endpoint.address());
            auto caller = harness.connect();
            TrafficHarness::sendRequest(caller, path, "a1");
            CHECK(TrafficHarness::readResponse(caller).starts_with("HTTP/1.1 502"));
        }
    }
}

TEST_CASE("An answer after an interim response is the endpoint's answer")
{
    const SilentServer endpoint(earlyHints + signedAnswer);
    const TrafficHarness harness(endpoint.address());
    auto caller = harness.connect();
    TrafficHarness::sendRequest(caller, "/write/1", "a1");
    CHECK(TrafficHarness::readResponse(caller).ends_with("\r\n\r\nok"));
}

// The same for a service behind an agent: its 101 or 103 must not reach the entry's caller as the final answer.
TEST_CASE("A service that switches protocols fails its call, and interim responses are skipped")
{
    const SilentServer switching(upgrade);
    const auto failed = callService(switching.address());
    REQUIRE(std::holds_alternative<ServiceCallFailed>(failed));
    CHECK(std::get<ServiceCallFailed>(failed).run == Executed::Unknown);
    const SilentServer hinting(earlyHints + signedAnswer);
    const auto answered = callService(hinting.address());
    REQUIRE(std::holds_alternative<ServiceResponded>(answered));
    CHECK(std::get<ServiceResponded>(answered).status == 200);
    CHECK(std::get<ServiceResponded>(answered).body == "ok");
}

TEST_CASE("An engine that switches protocols has not refused a start")
{
    const SilentServer engine(upgrade);
    CHECK(std::holds_alternative<EngineStreamLost>(startAtEngine(engine.address())));
}

TEST_CASE("A store that switches protocols has not answered")
{
    const SilentServer store(upgrade);
    PlatformApi::StoreClient client(store.address(), Milliseconds(5000));
    CHECK(client.write("table", { "key", "value", false }));
}
