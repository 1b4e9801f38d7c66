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
