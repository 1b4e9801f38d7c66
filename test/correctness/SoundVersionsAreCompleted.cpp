// A sound new version must be established by its deadline, also beside trouble that has nothing to do with it, and the
// old endpoints must have no requests when they are stopped.

#include "support/RolloutFleet.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

void checkCompleted(const RolloutFleet& fleet, Milliseconds duration)
{
    REQUIRE(fleet.state());
    CHECK(*fleet.state() == RolloutState::Completed);
    CHECK(fleet.states().size() == 2);
    CHECK(fleet.states().back().sinceOrder <= duration);
    CHECK(fleet.misrouted() == 0);
    CHECK(fleet.cutByCompletion() == 0);
}

}

TEST_CASE("a sound version is completed by its deadline without cutting a request")
{
    for (const Milliseconds duration : { Milliseconds(8000), Milliseconds(12000), Milliseconds(40000) }) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            CAPTURE(duration.count());
            CAPTURE(seed);
            RolloutFleet::Options options;
            options.duration = duration;
            options.seed = seed;
            RolloutFleet fleet(options);
            fleet.advance(Milliseconds(2000));
            fleet.order();
            fleet.finish();
            checkCompleted(fleet, duration);
        }
    }
}

TEST_CASE("a sound version is completed in fleets of many sizes")
{
    struct Size {
        std::size_t gateways;
        std::size_t endpoints;
        double requestsPerSecond;
    };
    for (const Size& size : { Size { 1, 2, 20 }, Size { 26, 7, 130 }, Size { 26, 48, 500 }, Size { 45, 12, 60 } }) {
        CAPTURE(size.gateways);
        RolloutFleet::Options options;
        options.gateways = size.gateways;
        options.endpoints = size.endpoints;
        options.requestsPerSecond = size.requestsPerSecond;
        options.loss = 0.05;
        RolloutFleet fleet(options);
        // Until all gateways have heard each other's names.
        fleet.advance(Milliseconds(8000));
        const std::size_t bytesBefore = fleet.gossipBytes();
        fleet.order();
        fleet.finish();
        checkCompleted(fleet, Milliseconds(12000));
        // Each gateway reads the records once, and one of them writes each state.
        CHECK(fleet.storeCalls() <= size.gateways + 10);
        constexpr std::size_t bytesPerSecond = 21000;
        constexpr std::size_t playedSeconds = 14;
        MESSAGE("bytes a second and gateway: before ", bytesBefore / size.gateways / 8, ", during ",
            (fleet.gossipBytes() - bytesBefore) / size.gateways / playedSeconds);
        CHECK(fleet.gossipBytes() - bytesBefore <= size.gateways * bytesPerSecond * playedSeconds);
    }
}

TEST_CASE("a sound version is completed beside an endpoint in trouble")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        RolloutFleet::Options options;
        options.greyEndpoints = 1;
        options.seed = seed;
        RolloutFleet fleet(options);
        fleet.advance(Milliseconds(2000));
        fleet.order();
        fleet.finish();
        REQUIRE(fleet.state());
        CHECK(*fleet.state() == RolloutState::Completed);
    }
}

TEST_CASE("a sound version is completed while both versions are slow or fail")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        RolloutFleet::Options options;
        options.newVersion.failedPart = 0.1;
        options.newVersion.slowPart = 0.2;
        options.oldVersion = options.newVersion;
        options.seed = seed;
        RolloutFleet fleet(options);
        fleet.advance(Milliseconds(2000));
        fleet.order();
        fleet.finish();
        REQUIRE(fleet.state());
        CHECK(*fleet.state() == RolloutState::Completed);
    }
}

TEST_CASE("the state is completed although its writer dies as it writes or the answer is lost")
{
    for (const bool isPerformed : { false, true }) {
        CAPTURE(isPerformed);
        RolloutFleet fleet(RolloutFleet::Options {});
        std::optional<std::size_t> killed;
        fleet.onWrite([&](std::size_t gateway, const WriteRollout& write) {
            if (write.record.state != RolloutState::Completed || killed)
                return;
            killed = gateway;
            fleet.setLosesAnswers(isPerformed);
        });
        fleet.advance(Milliseconds(2000));
        fleet.order();
        while (!killed)
            fleet.advance(Milliseconds(10));
        fleet.kill(*killed);
        fleet.advance(Milliseconds(100));
        fleet.setLosesAnswers(false);
        fleet.advanceTo(Milliseconds(12000));
        CHECK(*fleet.state() == RolloutState::Completed);
        CHECK(fleet.states().size() == 2);
        fleet.restart(*killed);
        fleet.advance(Milliseconds(2000));
        CHECK(fleet.misrouted() == 0);
    }
}

TEST_CASE("a gateway that starts in the middle of a roll-out takes part in it")
{
    RolloutFleet fleet(RolloutFleet::Options {});
    fleet.advance(Milliseconds(2000));
    fleet.order();
    fleet.advanceTo(Milliseconds(5000));
    fleet.kill(1);
    fleet.advance(Milliseconds(500));
    fleet.restart(1);
    fleet.finish();
    checkCompleted(fleet, Milliseconds(12000));
}
