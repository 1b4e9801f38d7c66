#include "support/EngineFleet.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace teaselfold;

namespace {

const PromptPartId deadlyPart(1);
/** First part of the prompts with the deadly part, which harmless prompts begin with too. */
const PromptPartId sharedPart(100);
/** Second part of the prompts with the deadly part. */
const PromptPartId session(1000);

/** Sends requests to a fleet, some of them with the deadly part. */
class Traffic {
public:
    Traffic(EngineFleet& fleet, double requestsPerSecond, double deadlyShare, std::uint64_t seed)
        : fleet(fleet)
        , requestsPerSecond(requestsPerSecond)
        , deadlyShare(deadlyShare)
        , randomness(seed)
    {
    }

    void play(Milliseconds time)
    {
        constexpr Milliseconds step(20);
        const double requestsPerStep = this->requestsPerSecond * step.count() / 1000;
        for (Milliseconds played(0); played < time; played += step) {
            if (this->draw() < requestsPerStep)
                this->send();
            if (requestsPerStep > 1 && this->draw() < requestsPerStep - 1)
                this->send();
            this->fleet.advance(step);
        }
    }

private:
    double draw()
    {
        constexpr std::uint64_t steps = 10000;
        return static_cast<double>(this->randomness.next() % steps) / steps;
    }

    void send()
    {
        constexpr std::uint64_t firstParts = 40;
        constexpr std::uint64_t sessions = 150;
        const PromptPartId first(sharedPart.get() + this->randomness.next() % firstParts);
        if (this->draw() < this->deadlyShare)
            this->fleet.send({ sharedPart, session, deadlyPart });
        else
            this->fleet.send({ first, PromptPartId(session.get() + this->randomness.next() % sessions) });
    }

    EngineFleet& fleet;
    double requestsPerSecond;
    double deadlyShare;
    SeededRandomness randomness;
};

/** @return the number of requests with the deadly part that reached engines too long after the fifth crash. */
std::size_t lateArrivals(const EngineFleet& fleet, Milliseconds reactionTime)
{
    constexpr std::size_t toleratedCrashes = 5;
    if (fleet.crashes().size() < toleratedCrashes)
        return 0;
    const Milliseconds due = fleet.crashes()[toleratedCrashes - 1] + reactionTime;
    return static_cast<std::size_t>(std::count_if(fleet.deadlyArrivals().begin(), fleet.deadlyArrivals().end(),
        [&](Milliseconds arrival) { return arrival > due; }));
}

}

// Guards against requests that differ in all but one part of their prompts and crash one engine after the other.
TEST_CASE("Requests with a prompt part that crashes engines are refused soon after the fifth crash")
{
    constexpr std::size_t toleratedArrivals = 3;
    for (const FleetSize& size : fleetSizes) {
        for (const double share : { 0.05, 0.15, 0.4 }) {
            for (const std::uint64_t seed : { 1, 2, 3 }) {
                CAPTURE(size.gateways);
                CAPTURE(share);
                CAPTURE(seed);
                EngineFleet fleet({ size.gateways, size.endpoints, seed, 0.02 });
                Traffic(fleet, size.requestsPerSecond, 0, seed).play(Milliseconds(4000));
                fleet.setDeadlyPart(deadlyPart);
                const Milliseconds begin = fleet.now();
                Traffic(fleet, size.requestsPerSecond, share, seed + 10).play(Milliseconds(22000));
                CHECK(lateArrivals(fleet, size.reactionTime) <= toleratedArrivals);
                const auto sound
                    = fleet.outcomeOf(sharedPart, begin + size.reactionTime * 2, begin + Milliseconds(22000));
                CHECK(sound.quarantined * 2 <= sound.sent);
            }
        }
    }
}

// Guards against a harmless part that is blamed because it occurs in every request with the deadly one.
TEST_CASE("Requests that share only harmless prompt parts with the deadly ones are served")
{
    EngineFleet fleet({ 5, 14, 7, 0 });
    fleet.setDeadlyPart(deadlyPart);
    for (int request = 0; request < 12; ++request) {
        fleet.send({ sharedPart, deadlyPart });
        fleet.advance(Milliseconds(700));
    }
    CHECK(fleet.crashes().size() <= 5);
    for (int request = 0; request < 20; ++request) {
        fleet.send({ sharedPart });
        fleet.advance(Milliseconds(700));
    }
    CHECK(fleet.outcome().sent == 20);
    CHECK(fleet.outcome().quarantined == 0);
    const std::size_t arrivals = fleet.deadlyArrivals().size();
    fleet.send({ PromptPartId(101), deadlyPart });
    CHECK(fleet.deadlyArrivals().size() == arrivals);
}

// Guards against prompts that are refused because engines fail for reasons of their own.
TEST_CASE("Engines that crash and connections that break at random quarantine no prompt part")
{
    for (const FleetSize& size : fleetSizes) {
        EngineFleet fleet({ size.gateways, size.endpoints, 3, 0.02 });
        fleet.setBrokenShare(0.2);
        Traffic traffic(fleet, size.requestsPerSecond, 0, 5);
        for (int round = 0; round < 6; ++round) {
            traffic.play(Milliseconds(4000));
            fleet.crashEngines(0.3);
        }
        CAPTURE(size.gateways);
        CHECK(fleet.outcome().quarantined == 0);
    }
}

// Guards against prompts that are refused because they were sent to engines that break everything.
TEST_CASE("Engines that break every run at its start quarantine no prompt part")
{
    for (const std::size_t greyEngines : { 2, 4, 7 }) {
        for (const std::uint64_t seed : { 1, 2, 3, 4 }) {
            CAPTURE(greyEngines);
            CAPTURE(seed);
            EngineFleet fleet({ 5, 14, seed, 0 });
            fleet.makeGrey(greyEngines);
            Traffic(fleet, 13, 0, seed).play(Seconds(40));
            CHECK(fleet.outcome().quarantined == 0);
        }
    }
}

// Guards against a restarted gateway that sends engines what the others have learned to refuse.
TEST_CASE("A gateway that restarts learns from the others which prompt parts are quarantined")
{
    EngineFleet fleet({ 5, 14, 9, 0 });
    Traffic(fleet, 13, 0, 1).play(Milliseconds(4000));
    fleet.setDeadlyPart(deadlyPart);
    Traffic(fleet, 13, 0.4, 2).play(Milliseconds(10000));
    fleet.restartGateway(0);
    fleet.restartGateway(1);
    fleet.advance(Milliseconds(1000));
    const std::size_t arrivals = fleet.deadlyArrivals().size();
    for (int request = 0; request < 40; ++request)
        fleet.send({ sharedPart, session, deadlyPart });
    CHECK(fleet.deadlyArrivals().size() == arrivals);
}

// Guards against a gateway that was suspended, reads the reports that waited for it all at once, takes the crashes for
// a single one and goes on sending requests with the deadly part.
TEST_CASE("A gateway that was suspended learns from the others which prompt parts are quarantined")
{
    for (const double share : { 0.15, 0.4 }) {
        for (const std::uint64_t seed : { 1, 2, 3 }) {
            CAPTURE(share);
            CAPTURE(seed);
            EngineFleet fleet({ 5, 14, seed, 0.02 });
            Traffic(fleet, 13, 0, seed).play(Milliseconds(4000));
            fleet.setDeadlyPart(deadlyPart);
            fleet.suspendGateway(0);
            Traffic(fleet, 13, share, seed + 10).play(Milliseconds(6000));
            fleet.continueGateway(0);
            Traffic(fleet, 13, 0, seed + 20).play(Milliseconds(3000));
            const std::size_t arrivals = fleet.deadlyArrivals().size();
            for (int request = 0; request < 10; ++request) {
                fleet.sendTo(0, { sharedPart, session, deadlyPart });
                fleet.advance(Milliseconds(100));
            }
            CHECK(fleet.deadlyArrivals().size() == arrivals);
        }
    }
}
