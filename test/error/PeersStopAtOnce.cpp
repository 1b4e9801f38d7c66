#include "adapters/peers/PeerChannel.h"
#include "support/Timing.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

/** The whole exit has a second, of which the peers must need a small part. */
constexpr Milliseconds maxStopTime(100);

}

// Guards against an exit that waits for the next timeout of a poll.
TEST_CASE("Idle peers stop at once, also right after their start")
{
    for (const Milliseconds uptime : { Milliseconds(0), Milliseconds(20) }) {
        PeerChannel peers({ "127.0.0.1", 0 }, [](const GatewayEvent&) {});
        REQUIRE_FALSE(peers.start());
        Poco::Thread::sleep(uptime.count());
        CHECK(timeOf([&] { peers.stop(); }) < maxStopTime);
    }
}

// Guards against a stop that waits for a pause in what the peers send.
TEST_CASE("Peers stop at once while datagrams keep arriving")
{
    constexpr Seconds floodTime(2);
    Poco::Net::DatagramSocket probe(Poco::Net::SocketAddress("127.0.0.1", 0), false);
    const Address address { "127.0.0.1", probe.address().port() };
    probe.close();
    PeerChannel sender({ "127.0.0.1", 0 }, [](const GatewayEvent&) {});
    SendGossip message;
    message.receivers = { address };
    message.gossip.instance = GatewayId("gateway-1");
    const Instant floodEnd = std::chrono::steady_clock::now() + floodTime;
    std::atomic<std::size_t> received { 0 };
    PeerChannel peers(address, [&](const GatewayEvent&) {
        ++received;
        // Each datagram is followed by another one, so that there is always one to read.
        if (std::chrono::steady_clock::now() < floodEnd)
            sender.send(message);
    });
    REQUIRE_FALSE(sender.start());
    REQUIRE_FALSE(peers.start());
    sender.send(message);
    REQUIRE(becomesTrue([&] { return received > 100; }));
    CHECK(timeOf([&] { peers.stop(); }) < maxStopTime);
}
