#include "platform/StoreClient.h"
#include "support/Timing.h"
#include "support/UnansweredListener.h"
#include "support/UselessStore.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <future>
#include <iterator>

using namespace teaselfold;

namespace {

/** The whole exit has a second, of which an abort must be a small part. */
constexpr Milliseconds maxAbortTime(250);
constexpr Seconds timeout(5);
constexpr Seconds longPoll(10);
/** There is no sign of an attempt to connect that a test could wait for. */
constexpr Milliseconds connectStart(100);

void checkAbortOfCall(const Address& address, const std::function<bool()>& hasBegun)
{
    PlatformApi::StoreClient client(address, timeout);
    auto result = std::async(std::launch::async, [&] { return client.watch("op", StoreVersion(1), longPoll); });
    REQUIRE(becomesTrue(hasBegun));
    const Milliseconds time = timeOf([&] {
        client.abort();
        result.wait();
    });
    CHECK(time < maxAbortTime);
    const auto outcome = result.get();
    const auto* fault = std::get_if<PlatformApi::StoreFault>(&outcome);
    REQUIRE(fault);
    CHECK(fault->reason == "stopped");
    CHECK(client.write("op", { "key", "value", false }));
}

std::ptrdiff_t openDescriptors()
{
    using std::filesystem::directory_iterator;
    return std::distance(directory_iterator("/proc/self/fd"), directory_iterator());
}

}

// Guards against a call that sleeps on after its abort, because the descriptor that it polls was closed.
TEST_CASE("An aborted call of the store returns at once at each of its moments")
{
    for (const StoreBehavior& behavior : behaviorsWithoutAnswer()) {
        CAPTURE(behavior.name);
        const UselessStore store(behavior);
        checkAbortOfCall(store.address(), [&] { return store.calls() > 0; });
    }
}

TEST_CASE("An aborted call of the store returns at once while it connects")
{
    const UnansweredListener store;
    checkAbortOfCall(store.address(), [] {
        Poco::Thread::sleep(connectStart.count());
        return true;
    });
}

// Guards against the close of a descriptor whose number another connection has taken meanwhile.
TEST_CASE("An abort leaves the descriptor of the connection to the thread that uses it")
{
    RawServer store([](RawServer::Connection& connection) {
        const auto head = connection.readHead();
        if (head && connection.readBody(*head) && connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
            connection.wait(longPoll);
    });
    auto client = std::make_unique<PlatformApi::StoreClient>(store.address(), timeout);
    REQUIRE_FALSE(client->write("op", { "key", "value", false }));
    const std::ptrdiff_t before = openDescriptors();
    client->abort();
    CHECK(openDescriptors() == before);
    client.reset();
    CHECK(openDescriptors() == before - 1);
}

// Guards against an abort that acts on a connection which is being opened or closed at the same moment.
TEST_CASE("An abort ends a call at any moment of its connections")
{
    constexpr int rounds = 200;
    RawServer store([](RawServer::Connection& connection) {
        const auto head = connection.readHead();
        if (head && connection.readBody(*head))
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    });
    for (int round = 0; round < rounds; ++round) {
        PlatformApi::StoreClient client(store.address(), timeout);
        auto calls = std::async(std::launch::async, [&] {
            std::optional<PlatformApi::StoreFault> fault;
            while (!fault || fault->reason != "stopped")
                fault = client.write("op", { "key", "value", false });
        });
        std::this_thread::sleep_for(Microseconds(round * 7));
        const Milliseconds time = timeOf([&] {
            client.abort();
            calls.wait();
        });
        CHECK(time < maxAbortTime);
    }
}
