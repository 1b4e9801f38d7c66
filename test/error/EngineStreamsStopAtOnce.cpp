#include "adapters/engine/EngineClient.h"
#include "support/RawServer.h"
#include "support/Timing.h"
#include "support/UnansweredListener.h"

#include <Poco/Net/SocketAddress.h>

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

constexpr Seconds engineTimeout(5);
constexpr Seconds exitTime(1);

std::unique_ptr<EngineClient> connectTo(const Address& engine)
{
    return EngineClientBuilder()
        .withAddress(engine)
        .withTimeout(engineTimeout)
        .withPollInterval(Seconds(60))
        .withMaxStreams(1)
        .withSink([](const EngineEvent&) {})
        .build();
}

}

// Guards against the close of a descriptor whose number another connection has taken meanwhile.
TEST_CASE("An aborted stream leaves its descriptor to the thread that reads it")
{
    RawServer engine([](RawServer::Connection& connection) { connection.readHead(); });
    Internal::StreamRegistry registry;
    const BoundedSocket socket;
    const auto session
        = Internal::openConnection(socket, engine.address(), engineTimeout, engineTimeout, { Instant::max(), 1000 });
    REQUIRE(session);
    const GenerationId generation(7);
    REQUIRE(registry.attach(generation, registry.open(generation), socket));
    registry.abort(generation);
    CHECK(socket.impl()->initialized());
}

// Guards against cancelled work that keeps its place until the connection attempt times out.
TEST_CASE("A stream that is cancelled while it connects makes room for another one at once")
{
    const UnansweredListener engine;
    const auto client = connectTo(engine.address());
    EngineStart start;
    start.generation = GenerationId(7);
    REQUIRE(client->submit(start));
    // There is no sign of an attempt to connect that the test could wait for.
    Poco::Thread::sleep(100);
    const Milliseconds time = timeOf([&] {
        client->submit(EngineCancel { start.generation });
        start.generation = GenerationId(8);
        becomesTrue([&] { return client->submit(start); });
    });
    CHECK(time < exitTime);
}

// Guards against an exit that waits for an engine which does not answer.
TEST_CASE("A client of an engine stops in time while no connection can be established")
{
    const UnansweredListener engine;
    const auto client = connectTo(engine.address());
    REQUIRE(client->submit(EngineCancel { GenerationId(8) }));
    // There is no sign of an attempt to connect that the test could wait for.
    Poco::Thread::sleep(100);
    CHECK(timeOf([&] { client->stop(); }) < exitTime);
}

TEST_CASE("A client of an engine stops in time while the engine is silent and commands are queued")
{
    std::atomic<std::size_t> calls { 0 };
    RawServer engine([&](RawServer::Connection& connection) {
        if (connection.readHead()) {
            ++calls;
            connection.wait(Seconds(60));
        }
    });
    const auto client = connectTo(engine.address());
    EngineStart start;
    start.generation = GenerationId(7);
    REQUIRE(client->submit(start));
    REQUIRE(client->submit(EngineCancel { GenerationId(8) }));
    REQUIRE(client->submit(EngineCancel { GenerationId(9) }));
    // The stream, the poll and the first command.
    REQUIRE(becomesTrue([&] { return calls == 3; }));
    CHECK(timeOf([&] { client->stop(); }) < exitTime);
}

TEST_CASE("A stop still sends the commands that are queued for an engine that answers")
{
    constexpr std::size_t cancels = 20;
    std::atomic<std::size_t> received { 0 };
    RawServer engine([&](RawServer::Connection& connection) {
        const auto head = connection.readHead();
        if (head && head->starts_with("DELETE"))
            ++received;
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    });
    const auto client = connectTo(engine.address());
    for (std::size_t number = 0; number < cancels; ++number)
        REQUIRE(client->submit(EngineCancel { GenerationId(number) }));
    client->stop();
    CHECK(received == cancels);
}
