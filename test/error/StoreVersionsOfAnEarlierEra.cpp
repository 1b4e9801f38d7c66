#include "adapters/peers/ReadingCodec.h"
#include "platform/StoreClient.h"
#include "support/GatewayScenario.h"
#include "support/RawServer.h"
#include "support/StoreFleet.h"

#include <doctest/doctest.h>

#include <atomic>
#include <mutex>

using namespace teaselfold;
using namespace teaselfold::PlatformApi;

namespace {

GatewayConfiguration configurationWithoutKey(std::uint64_t version)
{
    GatewayConfiguration configuration = GatewayScenario::configuration(version);
    configuration.teams->front().keys.clear();
    return configuration;
}

/** A store that answers every call with no rows, in the era that the test sets. */
class EraStore {
public:
    EraStore()
        : server([this](RawServer::Connection& connection) { this->serve(connection); })
    {
    }

    Address address() const { return this->server.address(); }
    void state(std::string text)
    {
        const std::lock_guard lock(this->mutex);
        this->era = std::move(text);
    }
    std::size_t calls() const { return this->callCount; }

private:
    void serve(RawServer::Connection& connection)
    {
        while (const auto head = connection.readHead()) {
            connection.readBody(*head);
            ++this->callCount;
            const std::lock_guard lock(this->mutex);
            const std::string body = R"({"rows":[],"hasMore":false,"rowVersion":7,"nowMs":1})";
            connection.send("HTTP/1.1 200 OK\r\n" + (this->era.empty() ? "" : "Store-Era: " + this->era + "\r\n")
                + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        }
    }

    std::mutex mutex;
    std::string era;
    std::atomic<std::size_t> callCount { 0 };
    RawServer server;
};

}

// Guards against gateways that keep a withdrawn key, or miss an endpoint, because a store that came back from an older
// copy gives out versions that they have seen before.
TEST_CASE("Changes after the store came back from an older copy reach every gateway in time")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        SeededRandomness randomness(seed);
        const auto draw = [&](std::uint64_t from, std::uint64_t to) { return from + randomness.next() % (to - from); };
        StoreFleet fleet({ { "north", "north", "north", "south" }, seed, {} });
        fleet.setLoss(static_cast<double>(draw(0, 3)) / 10);
        EndpointRecord steady = GatewayScenario::plainEndpoint("p1");
        fleet.writeEndpoint(steady);
        fleet.writeEndpoint(GatewayScenario::plainEndpoint("p2"));
        fleet.advance(Milliseconds(static_cast<Milliseconds::rep>(draw(2000, 4000))));
        const StoreFleet::Copy copy = fleet.copy();
        for (std::uint64_t write = 0; write < draw(25, 55); ++write) {
            steady.slots = static_cast<std::uint32_t>(write + 1);
            fleet.writeEndpoint(steady);
            fleet.advance(Milliseconds(50));
        }
        for (std::uint64_t drill = 0; drill < draw(1, 3); ++drill) {
            fleet.setStoreDown(true);
            fleet.advance(Milliseconds(static_cast<Milliseconds::rep>(draw(200, 1500))));
            fleet.restore(copy);
            fleet.setStoreDown(false);
            fleet.advance(Milliseconds(static_cast<Milliseconds::rep>(draw(10, 500))));
        }
        fleet.writeConfiguration(configurationWithoutKey(2));
        fleet.writeEndpoint(GatewayScenario::plainEndpoint("p3"));
        fleet.removeEndpoint(EndpointId("p2"));
        fleet.advance(Milliseconds(5000));
        for (std::size_t gateway = 0; gateway < fleet.size(); ++gateway) {
            CAPTURE(gateway);
            CHECK_FALSE(fleet.accepts(gateway, "/write/1", "key-a"));
            CHECK(fleet.knowsAsUsable(gateway, EndpointId("p1")));
            CHECK(fleet.knowsAsUsable(gateway, EndpointId("p3")));
            CHECK_FALSE(fleet.knowsAsUsable(gateway, EndpointId("p2")));
        }
    }
}

// Guards against a configuration that goes back to the one in the copy.
TEST_CASE("A configuration in force is not replaced by the older one of a copy")
{
    StoreFleet fleet({ { "north", "north" }, 1, {} });
    fleet.writeEndpoint(GatewayScenario::plainEndpoint("p1"));
    const StoreFleet::Copy copy = fleet.copy();
    fleet.writeConfiguration(configurationWithoutKey(2));
    fleet.advance(Milliseconds(3000));
    REQUIRE_FALSE(fleet.accepts(0, "/write/1", "key-a"));
    fleet.restore(copy);
    for (int second = 0; second < 10; ++second) {
        fleet.advance(Milliseconds(1000));
        for (std::size_t gateway = 0; gateway < fleet.size(); ++gateway)
            CHECK_FALSE(fleet.accepts(gateway, "/write/1", "key-a"));
    }
}

// Guards against work for an endpoint or a zone that had left, and against sound endpoints that are dropped, because
// the copy is some seconds old.
TEST_CASE("A copy brings nothing back that had left, and takes away nothing that may be written again")
{
    for (const bool isLong : { false, true }) {
        CAPTURE(isLong);
        StoreFleet fleet({ { "north", "north", "south" }, 1, {} });
        for (const char* name : { "p1", "removed", "drained" })
            fleet.writeEndpoint(GatewayScenario::plainEndpoint(name));
        fleet.writeEndpoint(GatewayScenario::plainEndpoint("evacuated", "south"));
        fleet.advance(Milliseconds(3000));
        const StoreFleet::Copy copy = fleet.copy();
        fleet.removeEndpoint(EndpointId("removed"));
        EndpointRecord drained = GatewayScenario::plainEndpoint("drained");
        drained.isDraining = true;
        fleet.writeEndpoint(drained);
        for (const char* name : { "registered", "vanished" })
            fleet.writeEndpoint(GatewayScenario::plainEndpoint(name));
        fleet.setZoneOut("south", true);
        fleet.advance(Milliseconds(1500));
        fleet.setStoreDown(true);
        fleet.advance(Milliseconds(isLong ? 2500 : 300));
        fleet.restore(copy);
        fleet.setStoreDown(false);
        const auto checkAll = [&](const char* endpoint, bool isUsable) {
            for (std::size_t gateway = 0; gateway < fleet.size(); ++gateway) {
                CAPTURE(std::string(endpoint));
                CAPTURE(gateway);
                CHECK(fleet.knowsAsUsable(gateway, EndpointId(endpoint)) == isUsable);
            }
        };
        for (int step = 0; step < 15; ++step) {
            fleet.advance(Milliseconds(100));
            checkAll("p1", true);
            checkAll("registered", true);
            checkAll("removed", false);
            checkAll("drained", false);
            checkAll("evacuated", false);
        }
        fleet.writeEndpoint(GatewayScenario::plainEndpoint("registered"));
        fleet.removeEndpoint(EndpointId("removed"));
        fleet.writeEndpoint(drained);
        fleet.setZoneOut("south", true);
        fleet.advance(Milliseconds(5000));
        checkAll("registered", true);
        checkAll("vanished", false);
        checkAll("removed", false);
        checkAll("drained", false);
        checkAll("evacuated", false);
        fleet.setZoneOut("south", false);
        fleet.advance(Milliseconds(1000));
        checkAll("evacuated", true);
    }
}

// Guards against an evacuation without end: it was ended while the store was away, and nobody writes it again.
TEST_CASE("A zone that the copy lacks returns when operators had time to write it again")
{
    StoreFleet fleet({ { "north" }, 1, {} });
    fleet.writeEndpoint(GatewayScenario::plainEndpoint("p1"));
    fleet.advance(Milliseconds(3000));
    const StoreFleet::Copy copy = fleet.copy();
    fleet.setZoneOut("north", true);
    fleet.advance(Milliseconds(1000));
    REQUIRE_FALSE(fleet.knowsAsUsable(0, EndpointId("p1")));
    fleet.restore(copy);
    fleet.advance(Milliseconds(1000));
    CHECK_FALSE(fleet.knowsAsUsable(0, EndpointId("p1")));
    fleet.advance(Milliseconds(4000));
    CHECK(fleet.knowsAsUsable(0, EndpointId("p1")));
}

// Guards against calls without end: each read of a version that the store no longer has ends in 410 and a snapshot.
TEST_CASE("The store gets few more calls after it came back from an older copy")
{
    StoreFleet fleet({ { "north", "north", "north", "south", "south", "south" }, 1, {} });
    fleet.writeEndpoint(GatewayScenario::plainEndpoint("p1"));
    const StoreFleet::Copy copy = fleet.copy();
    fleet.advance(Milliseconds(5000));
    const std::size_t before = fleet.calls();
    fleet.advance(Milliseconds(5000));
    const std::size_t calm = fleet.calls() - before;
    fleet.restore(copy);
    const std::size_t atDrill = fleet.calls();
    fleet.advance(Milliseconds(5000));
    CHECK(fleet.calls() - atDrill <= 2 * calm);
}

TEST_CASE("Versions of two eras never compare by number alone")
{
    CHECK(StoreVersion(5, 2) > StoreVersion(900, 1));
    CHECK(StoreVersion(5, 2) < StoreVersion(6, 2));
    CHECK(StoreVersion(5, 2) != StoreVersion(5, 1));
}

TEST_CASE("An announcement keeps the era of each version")
{
    StoreReading reading;
    reading.reader = GatewayId("gateway-1");
    reading.previousChange = StoreVersion(900, 1);
    reading.lastChange = StoreVersion(5, 2);
    reading.completeUpTo = StoreVersion(8, 3);
    CHECK(decodeReading(encodeReading(reading)) == reading);
}

TEST_CASE("The history of an earlier era is gone, whatever the store answers")
{
    EraStore store;
    store.state("4");
    StoreClient client(store.address(), Milliseconds(5000));
    CHECK(std::holds_alternative<StoreRows>(client.watch("op", StoreVersion(3, 4), Milliseconds(0))));
    store.state("5");
    CHECK(std::holds_alternative<HistoryGone>(client.watch("op", StoreVersion(3, 4), Milliseconds(0))));
    const std::size_t calls = store.calls();
    CHECK(std::holds_alternative<HistoryGone>(client.watch("op", StoreVersion(3, 4), Milliseconds(0))));
    CHECK(store.calls() == calls);
    const auto listed = client.list("op", "");
    REQUIRE(std::holds_alternative<StoreRows>(listed));
    CHECK(std::get<StoreRows>(listed).version == StoreVersion(7, 5));
}

// Guards against an answer from before the return, which may come late, or through an older connection.
TEST_CASE("An answer of an earlier, missing or unreadable era is a fault")
{
    for (const std::string later : { "3", "", "x", "-1", "5x", "99999999999999999999999" }) {
        CAPTURE(later);
        EraStore store;
        store.state("4");
        StoreClient client(store.address(), Milliseconds(5000));
        CHECK(std::holds_alternative<StoreRows>(client.list("op", "")));
        store.state(later);
        CHECK(std::holds_alternative<StoreFault>(client.list("op", "")));
        CHECK(client.write("table", { "key", "value", false }));
        store.state("9");
        CHECK(std::holds_alternative<StoreRows>(client.list("op", "")));
    }
}

TEST_CASE("A store that states no era stays in the first one")
{
    EraStore store;
    StoreClient client(store.address(), Milliseconds(5000));
    CHECK(std::holds_alternative<StoreRows>(client.watch("op", StoreVersion(3), Milliseconds(0))));
}

// Guards against a transaction whose condition holds by chance, since its version was given out again.
TEST_CASE("A transaction on a version of an earlier era is not performed")
{
    EraStore store;
    store.state("4");
    StoreClient client(store.address(), Milliseconds(5000));
    const StoreTransaction transaction { { { "rollouts", "service", StoreVersion(3, 3) } }, {} };
    CHECK(std::holds_alternative<StoreRows>(client.list("op", "")));
    const std::size_t calls = store.calls();
    CHECK(std::holds_alternative<StoreConflict>(client.transact(transaction)));
    CHECK(store.calls() == calls);
    const StoreTransaction current { { { "rollouts", "service", StoreVersion(3, 4) } }, {} };
    CHECK(std::holds_alternative<StoreVersion>(client.transact(current)));
    store.state("5");
    CHECK(std::holds_alternative<StoreFault>(client.transact(current)));
}
