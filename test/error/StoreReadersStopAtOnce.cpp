#include "platform/StoreReader.h"
#include "runtime/BootClock.h"
#include "support/Timing.h"
#include "support/UnansweredListener.h"
#include "support/UselessStore.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

/** A busy gateway ends its requests this long before its grace time is over, and needs some of it for the rest. */
constexpr Milliseconds maxStopTime(450);
constexpr Seconds longPoll(10);
const std::string emptyPage = R"({"rows":[],"rowVersion":1,"nowMs":1})";

/** A store that answers listings and transactions and holds long polls. */
class HoldingStore {
public:
    HoldingStore()
        : server([this](RawServer::Connection& connection) { this->serve(connection); })
    {
    }

    Address address() const { return this->server.address(); }
    std::size_t heldCalls() const { return this->held; }
    std::size_t removals() const { return this->removed; }

private:
    void serve(RawServer::Connection& connection)
    {
        while (const auto head = connection.readHead()) {
            const auto body = connection.readBody(*head);
            if (head->starts_with("GET /v1/rows-feed")) {
                ++this->held;
                return connection.wait(longPoll);
            }
            if (body && body->find(R"("remove":[{)") != std::string::npos)
                ++this->removed;
            connection.send(
                "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(emptyPage.size()) + "\r\n\r\n" + emptyPage);
        }
    }

    std::atomic<std::size_t> held { 0 };
    std::atomic<std::size_t> removed { 0 };
    RawServer server;
};

std::unique_ptr<PlatformStore> startStore(
    const Address& address, const std::function<void(GatewayEvent)>& sink = [](const GatewayEvent&) {})
{
    auto store = std::make_unique<PlatformStore>(StoreReader::Options { address },
        GatewayMember { GatewayId("gateway-1"), { "127.0.0.1", 1 }, ZoneId("north") }, sink, &bootTimeNow);
    store->start();
    return store;
}

void readEverySection(PlatformStore& store, std::optional<StoreVersion> since)
{
    for (std::size_t section = 0; section < storeSectionCount; ++section)
        store.read({ static_cast<StoreSection>(section), since, longPoll });
}

void checkStopTime(PlatformStore& store)
{
    CHECK(timeOf([&] { store.stop(); }) < maxStopTime);
}

}

// Guards against an exit that waits for the store until the platform kills the process.
TEST_CASE("The readers of the store stop in time whatever the store does with their calls")
{
    for (const StoreBehavior& behavior : behaviorsWithoutAnswer()) {
        CAPTURE(behavior.name);
        const UselessStore useless(behavior);
        const auto store = startStore(useless.address());
        readEverySection(*store, StoreVersion(1));
        REQUIRE(becomesTrue([&] { return useless.calls() == storeSectionCount; }));
        checkStopTime(*store);
    }
}

TEST_CASE("The readers of the store stop in time while it holds their calls, and remove the gateway's row")
{
    const HoldingStore holding;
    const auto store = startStore(holding.address());
    readEverySection(*store, StoreVersion(1));
    REQUIRE(becomesTrue([&] { return holding.heldCalls() == storeSectionCount; }));
    checkStopTime(*store);
    CHECK(holding.removals() == 1);
}

TEST_CASE("The readers of the store stop in time while no connection to it can be established")
{
    const UnansweredListener unanswered;
    const auto store = startStore(unanswered.address());
    readEverySection(*store, std::nullopt);
    // There is no sign of an attempt to connect that the test could wait for.
    Poco::Thread::sleep(100);
    checkStopTime(*store);
}

TEST_CASE("The readers of the store stop in time when it is gone")
{
    auto holding = std::make_unique<HoldingStore>();
    const auto store = startStore(holding->address());
    readEverySection(*store, StoreVersion(1));
    REQUIRE(becomesTrue([&] { return holding->heldCalls() == storeSectionCount; }));
    holding.reset();
    readEverySection(*store, std::nullopt);
    checkStopTime(*store);
}

TEST_CASE("Idle readers of the store stop in time, and remove the gateway's row")
{
    const HoldingStore holding;
    const auto store = startStore(holding.address());
    checkStopTime(*store);
    CHECK(holding.removals() == 1);
}

// Guards against log lines that blame the store for the calls which a planned stop ends.
TEST_CASE("The readers of the store report no calls that their stop aborts, only a row that stays")
{
    const auto reportedBy = [](const auto& server, const auto& countOfCalls) {
        Ring<GatewayEvent> events(16);
        const auto store = startStore(server.address(), [&](GatewayEvent event) { events.tryPush(std::move(event)); });
        readEverySection(*store, StoreVersion(1));
        REQUIRE(becomesTrue([&] { return countOfCalls() == storeSectionCount; }));
        store->stop();
        std::vector<std::string> reasons;
        while (const auto event = events.tryPop()) {
            if (const auto* failed = std::get_if<StoreReadFailed>(&*event))
                reasons.push_back(failed->reason);
        }
        return reasons;
    };
    const HoldingStore holding;
    CHECK(reportedBy(holding, [&] { return holding.heldCalls(); }).empty());
    const UselessStore useless(behaviorsWithoutAnswer().front());
    const auto reasons = reportedBy(useless, [&] { return useless.calls(); });
    REQUIRE(reasons.size() == 1);
    CHECK(reasons.front().starts_with("own row not removed: "));
}
