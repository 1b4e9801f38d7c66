// A new version of a service is bad. It must get only a small part of the requests and be reverted, whatever is bad
// about it, and no gateway must send to it again.

#include "support/RolloutFleet.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

struct Case {
    const char* name;
    VersionFault fault;
};

VersionFault failing(double part)
{
    VersionFault fault;
    fault.failedPart = part;
    return fault;
}

VersionFault slow(double part, double factor)
{
    VersionFault fault;
    fault.slowPart = part;
    fault.slowFactor = factor;
    return fault;
}

VersionFault from(VersionFault fault, Milliseconds begins)
{
    fault.begins = begins;
    return fault;
}

VersionFault underLoad(VersionFault fault)
{
    fault.minLoad = 2;
    return fault;
}

VersionFault onPath(VersionFault fault, const std::string& path)
{
    fault.path = path;
    return fault;
}

std::vector<Case> badVersions()
{
    return {
        { "fails everything at once", failing(1) },
        { "fails a third of its answers", failing(0.35) },
        { "fails later", from(failing(0.4), Milliseconds(6000)) },
        { "is four times slower", slow(0.8, 4) },
        { "is several times slower later", from(slow(0.8, 4), Milliseconds(6000)) },
        { "fails under load", underLoad(failing(0.8)) },
        { "fails on one route", onPath(failing(0.5), "/write/") },
        { "is slow on one route", onPath(slow(0.9, 5), "/read/") },
    };
}

void checkReverted(const RolloutFleet& fleet)
{
    REQUIRE(fleet.state());
    CHECK(*fleet.state() == RolloutState::Reverted);
    CHECK(fleet.states().size() == 2);
    CHECK(fleet.states().back().sinceOrder <= Milliseconds(12000));
    CHECK(static_cast<double>(fleet.requestsToNew()) <= fleet.exposureLimit());
    CHECK(fleet.longestRollback() <= Milliseconds(5000));
    CHECK(fleet.misrouted() == 0);
}

}

TEST_CASE("a bad version is reverted before it gets more than its part of the requests")
{
    for (const Case& bad : badVersions()) {
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            CAPTURE(bad.name);
            CAPTURE(seed);
            RolloutFleet::Options options;
            options.newVersion = bad.fault;
            options.seed = seed;
            RolloutFleet fleet(options);
            fleet.advance(Milliseconds(2000));
            fleet.order();
            fleet.finish();
            checkReverted(fleet);
        }
    }
}

TEST_CASE("many gateways with few requests each judge a version together")
{
    for (const Case& bad : badVersions()) {
        CAPTURE(bad.name);
        RolloutFleet::Options options;
        options.newVersion = bad.fault;
        options.gateways = 26;
        options.loss = 0.1;
        RolloutFleet fleet(options);
        fleet.advance(Milliseconds(3000));
        fleet.order();
        fleet.finish();
        checkReverted(fleet);
    }
}

TEST_CASE("a bad version gets no more requests while the store is down, and is reverted when it is back")
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        CAPTURE(seed);
        RolloutFleet::Options options;
        options.newVersion = from(failing(0.5), Milliseconds(4000));
        options.seed = seed;
        RolloutFleet fleet(options);
        fleet.advance(Milliseconds(2000));
        fleet.order();
        fleet.advanceTo(Milliseconds(3900));
        fleet.setStoreDown(true);
        fleet.advanceTo(Milliseconds(9000));
        const std::size_t toNew = fleet.requestsToNew();
        CHECK(*fleet.state() == RolloutState::InProgress);
        fleet.advanceTo(Milliseconds(10000));
        CHECK(fleet.requestsToNew() == toNew);
        fleet.setStoreDown(false);
        fleet.advanceTo(Milliseconds(11500));
        CHECK(*fleet.state() == RolloutState::Reverted);
        CHECK(fleet.longestRollback() <= Milliseconds(5000));
    }
}

TEST_CASE("the state is reverted although its writer dies as it writes, and a restarted gateway keeps to it")
{
    for (const bool isPerformed : { false, true }) {
        CAPTURE(isPerformed);
        RolloutFleet::Options options;
        options.newVersion = failing(0.5);
        RolloutFleet fleet(options);
        std::optional<std::size_t> killed;
        fleet.onWrite([&](std::size_t gateway, const WriteRollout& write) {
            if (write.record.state != RolloutState::Reverted || killed)
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
        fleet.advance(Milliseconds(1400));
        checkReverted(fleet);
        const std::size_t toNew = fleet.requestsToNew();
        fleet.restart(*killed);
        fleet.advance(Milliseconds(1000));
        CHECK(fleet.requestsToNew() == toNew);
    }
}

TEST_CASE("a gateway that hears no other one learns from the store that a version was reverted")
{
    RolloutFleet::Options options;
    options.newVersion = from(failing(0.5), Milliseconds(5000));
    RolloutFleet fleet(options);
    fleet.advance(Milliseconds(2000));
    fleet.order();
    fleet.advanceTo(Milliseconds(2000));
    fleet.isolate(0);
    fleet.advanceTo(Milliseconds(14000));
    CHECK(*fleet.state() == RolloutState::Reverted);
    CHECK(fleet.longestRollback() <= Milliseconds(5000));
    CHECK(static_cast<double>(fleet.requestsToNew()) <= fleet.exposureLimit());
}
