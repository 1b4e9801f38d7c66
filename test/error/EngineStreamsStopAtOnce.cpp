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
    const auto connection
        = Internal::openConnection(BoundedSocket(), engine.address(), engineTimeout, engineTimeout, Instant::max());
    REQUIRE(connection);
    const GenerationId generation(7);
    REQUIRE(registry.attach(generation, registry.open(generation), connection->socket));
    registry.abort(generation);
    CHECK(connection->socket.impl()->initialized());
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
