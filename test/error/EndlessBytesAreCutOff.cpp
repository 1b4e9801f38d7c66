#include "adapters/engine/HttpConnection.h"
#include "adapters/engine/PlainServiceClient.h"
#include "adapters/net/BodyDecoder.h"
#include "adapters/platform/PlatformSession.h"
#include "adapters/traffic/EventStreamFilter.h"
#include "platform/StoreClient.h"
#include "support/EngineCalls.h"
#include "support/RawServer.h"
#include "support/TrafficHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

/** A tenth of the memory of the smallest machine that runs a gateway. */
constexpr std::size_t maxTakenBytes = std::size_t { 96 } * 1024 * 1024 / 10;
/** More than any peer may take; it includes what lies in socket buffers. */
constexpr std::size_t offeredBytes = std::size_t { 64 } * 1024 * 1024;

/** Bytes that never become an answer: a beginning, and what follows without end. */
struct EndlessBytes {
    std::string name;
    std::string beginning;
    std::string repeated;
};

/** Answers one request with the bytes. */
void answerWithoutEnd(RawServer::Connection& connection, const EndlessBytes& bytes)
{
    if (connection.readHead() && connection.send(bytes.beginning))
        connection.sendWithoutEnd(bytes.repeated, offeredBytes);
}

const std::string signedHead = "HTTP/1.1 200 OK\r\nX-Teaselfold-Server-Signature: s\r\n";
const std::string chunkedHead = signedHead + "Transfer-Encoding: chunked\r\n\r\n";

std::vector<EndlessBytes> endlessAnswers()
{
    return {
        { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "fields of a head", "HTTP/1.1 200 OK\r\n", "X-A: bbbbbbbbbbbbbbbb\r\n" },
        { "value of a field", "HTTP/1.1 200 OK\r\nX-A: ", "aaaaaaaaaaaaaaaa" },
        { "status line", "HTTP/1.1 200 ", "OK OK OK OK OK " },
        { "bytes of no protocol", "", "noise\r\n\r\n" },
        { "trailer fields", chunkedHead + "2\r\nok\r\n0\r\n", "X-T: yyyyyyyyyyyyyyyy\r\n" },
        { "chunk extensions", chunkedHead, "1;" + std::string(900, 'e') + "\r\nx\r\n" },
        { "chunks", chunkedHead, "10\r\n0123456789abcdef\r\n" },
        { "size of a chunk", chunkedHead, "0" },
        { "body until close", signedHead + "\r\n", "0123456789abcdef" },
    };
}

}

TEST_CASE("An endpoint that sends bytes without end is cut off, and its caller gets an answer before the deadline")
{
    auto cases = endlessAnswers();
    cases.push_back({ "responses to another request", "",
        signedHead + "X-Teaselfold-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n" });
    for (const EndlessBytes& bytes : cases) {
        CAPTURE(bytes.name);
        RawServer endpoint([&](RawServer::Connection& connection) { answerWithoutEnd(connection, bytes); });
        const TrafficHarness harness(endpoint.address());
        auto socket = harness.connect();
        TrafficHarness::sendRequest(socket, "/write/1", "a1");
        const std::string answer = TrafficHarness::readResponse(socket);
        CHECK(answer.starts_with("HTTP/1.1 50"));
        CHECK(answer.find("no answer in time") == std::string::npos);
        CHECK(endpoint.sentBytes() < maxTakenBytes * 2);
    }
}

TEST_CASE("A stream of bytes that contain no event is cut off")
{
    const std::string streamHead = signedHead
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nid: 1\ndat\r\n6\r\na: x\n\n\r\n";
    const std::vector<EndlessBytes> cases {
        { "comments", streamHead, "8\r\n: ping\n\n\r\n" },
        { "an event without end", streamHead, "10\r\n0123456789abcdef\r\n" },
        { "repeated events", streamHead, "d\r\nid: 1\ndata: x\r\n2\r\n\n\n\r\n" },
        { "interim heads before it", "", "HTTP/1.1 103 Early Hints\r\n\r\n" },
    };
    for (const EndlessBytes& bytes : cases) {
        CAPTURE(bytes.name);
        RawServer endpoint([&](RawServer::Connection& connection) { answerWithoutEnd(connection, bytes); });
        const TrafficHarness harness(endpoint.address());
        auto socket = harness.connect();
        TrafficHarness::sendRequest(socket, "/draft/1", "a1");
        if (bytes.beginning.empty()) {
            CHECK(TrafficHarness::readResponse(socket).starts_with("HTTP/1.1 50"));
        } else {
            const std::string answer = TrafficHarness::readUntilClosed(socket);
            CHECK(answer.find("id: 1\ndata: x") != std::string::npos);
            // A complete answer ends with an empty chunk.
            CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
        }
        CHECK(endpoint.sentBytes() < maxTakenBytes * 2);
    }
}

// Guards against answers to calls that move runs, of which each lost stream makes one: they hold a handle, and were
// read up to the largest body.
TEST_CASE("A long answer to a call that stops a run is no answer")
{
    RawServer engine([](RawServer::Connection& connection) {
        const auto head = connection.readHead();
        if (!head)
            return;
        if (head->starts_with("POST /v1/kv-move")) {
            const std::string body = R"({"session":"h1","created":1,"padding":")" + std::string(200000, 'x') + R"("})";
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
            connection.wait(Milliseconds(200));
            return;
        }
        connection.send(signedHead
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: t1\n\n\r\n");
        connection.wait(Milliseconds(100));
    });
    TrafficHarness harness(engine.address());
    EndpointRecord other = GatewayScenario::engineEndpoint("e2");
    other.address = engine.address();
    harness.changeEndpoint(other);
    auto socket = harness.connect();
    TrafficHarness::sendRequest(socket, "/draft/1", "a1");
    CHECK_FALSE(TrafficHarness::readChunkedResponse(socket).ends_with("\r\n0\r\n\r\n"));
    CHECK(harness.loggedField("move_answered", "outcome") == "failed");
}

TEST_CASE("A store that sends bytes without end makes the call fail")
{
    for (const EndlessBytes& bytes : endlessAnswers()) {
        CAPTURE(bytes.name);
        RawServer store([&](RawServer::Connection& connection) { answerWithoutEnd(connection, bytes); });
        PlatformApi::StoreClient client(store.address(), Milliseconds(10000));
        const auto result = client.list("op", "");
        CHECK(std::holds_alternative<PlatformApi::StoreFault>(result));
        CHECK(store.sentBytes() < maxTakenBytes * 2);
    }
}

// Guards against an agent that keeps what its engine sends without end: each of its calls and streams kept 64 MB.
TEST_CASE("An engine that sends bytes without end is cut off in each of an agent's calls")
{
    for (const EndlessBytes& bytes : endlessAnswers()) {
        CAPTURE(bytes.name);
        RawServer engine([&](RawServer::Connection& connection) { answerWithoutEnd(connection, bytes); });
        const auto result
            = Internal::exchange(BoundedSocket(), engine.address(), Milliseconds(10000), "GET", "/load", "");
        CHECK_FALSE(result.received);
        CHECK(engine.sentBytes() < maxTakenBytes * 2);
    }
}

TEST_CASE("A stream that an engine goes on with without end is cut off by what its request asked for")
{
    auto cases = endlessAnswers();
    cases.push_back({ "one line", chunkedHead, "10\r\n0123456789abcdef\r\n" });
    cases.push_back({ "tokens", signedHead + "\r\n", "data: {\"index\":0,\"choices\":[{\"text\":\"t\"}]}\n\n" });
    for (const EndlessBytes& bytes : cases) {
        CAPTURE(bytes.name);
        RawServer engine([&](RawServer::Connection& connection) {
            const auto head = connection.readHead();
            if (head && head->starts_with("POST /v1/completions") && connection.readBody(*head)
                && connection.send(bytes.beginning))
                connection.sendWithoutEnd(bytes.repeated, offeredBytes);
        });
        CHECK(std::holds_alternative<EngineStreamLost>(lastEventOfStart(engine.address())));
        CHECK(engine.sentBytes() < maxTakenBytes * 2);
    }
}

TEST_CASE("A platform that sends bytes without end makes the call fail")
{
    for (const EndlessBytes& bytes : endlessAnswers()) {
        CAPTURE(bytes.name);
        RawServer platform([&](RawServer::Connection& connection) { answerWithoutEnd(connection, bytes); });
        Internal::PlatformSession session(platform.address(), Milliseconds(10000));
        const auto result = session.execute(ObjectRead { "fleet" });
        CHECK(std::holds_alternative<PlatformUnavailable>(result));
        CHECK(platform.sentBytes() < maxTakenBytes * 2);
    }
}

// Guards against an agent that runs out of memory by the answers of many calls to one service in trouble.
TEST_CASE("Endless answers to many calls together are bounded, and another call is answered")
{
    constexpr std::size_t calls = 24;
    constexpr std::size_t endlessBytes = std::size_t { 12 } * 1024 * 1024;
    RawServer service([&](RawServer::Connection& connection) {
        const auto head = connection.readHead();
        if (!head || !connection.readBody(*head))
            return;
        if (head->starts_with("POST /ordinary")) {
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            return;
        }
        connection.send(signedHead + "Content-Length: 1000000000\r\n\r\n");
        connection.sendWithoutEnd(std::string(4096, 'x'), endlessBytes);
        connection.wait(Seconds(20));
    });
    Ring<ServiceEvent> events(calls + 1);
    const auto client = PlainServiceClientBuilder()
                            .withAddress(service.address())
                            .withWorkers(calls + 1)
                            .withSink([&](const ServiceEvent& event) { events.push(event); })
                            .build();
    ServiceForward call;
    call.budget = Seconds(15);
    call.work.method = "POST";
    call.work.path = "/endless";
    for (std::size_t number = 0; number < calls; ++number) {
        call.call = GenerationId(number + 1);
        REQUIRE(client->submit(call));
    }
    const Instant limit = std::chrono::steady_clock::now() + Seconds(10);
    std::size_t failed = 0;
    while (events.popUntil(limit))
        ++failed;
    // What four of them take together, besides what is in transit.
    CHECK(failed >= calls - 4);
    call.call = GenerationId(calls + 1);
    call.work.path = "/ordinary";
    REQUIRE(client->submit(call));
    bool isAnswered = false;
    while (const auto event = events.popUntil(std::chrono::steady_clock::now() + Seconds(10))) {
        const auto* answer = std::get_if<ServiceResponded>(&*event);
        isAnswered = answer && answer->body == "ok";
        if (isAnswered)
            break;
    }
    CHECK(isAnswered);
    client->stop();
}

TEST_CASE("A store whose answer trickles in fails the call when its total time is over")
{
    // Ten minutes of bytes, each of which comes long before the timeout of a single read.
    constexpr std::size_t trickledBytes = 30000;
    RawServer store([&](RawServer::Connection& connection) {
        if (!connection.readHead() || !connection.send("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"))
            return;
        for (std::size_t sent = 0; sent < trickledBytes && connection.send("x"); ++sent)
            connection.wait(Milliseconds(20));
    });
    PlatformApi::StoreClient client(store.address(), Milliseconds(100));
    CHECK(std::holds_alternative<PlatformApi::StoreFault>(client.list("op", "")));
    CHECK(std::holds_alternative<PlatformApi::StoreFault>(client.watch("op", StoreVersion(1), Milliseconds(100))));
    CHECK(store.sentBytes() < trickledBytes);
}

TEST_CASE("Chunk extensions and trailers are bounded for a whole body")
{
    constexpr std::size_t maxRounds = 10000;
    for (const std::string& repeated : { std::string("X-T: y\r\n"), "1;" + std::string(500, 'e') + "\r\nx\r\n" }) {
        BodyDecoder decoder({ BodyKind::Chunked, 0 });
        std::string body;
        if (repeated.front() == 'X')
            decoder.feed("0\r\n", body);
        std::size_t rounds = 0;
        while (!decoder.isMalformed() && rounds < maxRounds * 10) {
            decoder.feed(repeated, body);
            ++rounds;
        }
        CHECK(rounds < maxRounds);
    }
}

TEST_CASE("An event stream may be long as long as its events carry data")
{
    EventStreamFilter events(std::nullopt);
    std::size_t forwarded = 0;
    for (int id = 1; id <= 5000; ++id)
        forwarded += events.feed("id: " + std::to_string(id) + "\ndata: " + std::string(1000, 't') + "\n\n").size();
    CHECK(forwarded > 5000000);
    CHECK_FALSE(events.isRunaway());
}
