#include "core/entry/Rendezvous.h"
#include "support/EngineFleet.h"
#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace teaselfold;

namespace {

/** Sends requests to a fleet, some of which are repetitions of a few deadly ones. */
class Traffic {
public:
    Traffic(EngineFleet& fleet, double requestsPerSecond, std::uint64_t seed)
        : fleet(fleet)
        , requestsPerSecond(requestsPerSecond)
        , randomness(seed)
    {
    }

    /** @param deadlyShare of the requests, divided evenly between the deadly ones. */
    void play(Milliseconds time, double deadlyShare, std::uint64_t deadlyRequests)
    {
        constexpr Milliseconds step(20);
        const double requestsPerStep = this->requestsPerSecond * step.count() / 1000;
        for (Milliseconds played(0); played < time; played += step) {
            if (this->draw() < requestsPerStep)
                this->send(deadlyShare, deadlyRequests);
            if (requestsPerStep > 1 && this->draw() < requestsPerStep - 1)
                this->send(deadlyShare, deadlyRequests);
            this->fleet.advance(step);
        }
    }

    /** @return the fingerprint of a deadly request. */
    static Fingerprint deadly(std::uint64_t index) { return Fingerprint(hashOf("deadly " + std::to_string(index))); }

private:
    double draw()
    {
        constexpr std::uint64_t steps = 10000;
        return static_cast<double>(this->randomness.next() % steps) / steps;
    }

    void send(double deadlyShare, std::uint64_t deadlyRequests)
    {
        constexpr std::uint64_t firstParts = 40;
        constexpr std::uint64_t sessions = 150;
        const PromptPartId first(100 + this->randomness.next() % firstParts);
        const PromptPartId session(1000 + this->randomness.next() % sessions);
        if (this->draw() < deadlyShare)
            this->fleet.sendDeadly(deadly(this->randomness.next() % deadlyRequests), { PromptPartId(100) });
        else
            this->fleet.send({ first, session });
    }

    EngineFleet& fleet;
    double requestsPerSecond;
    SeededRandomness randomness;
};

/** @return the number of times that a deadly request reached endpoints too long after its third crash. */
std::size_t lateArrivals(EngineFleet& fleet, Fingerprint deadly, Milliseconds reactionTime)
{
    constexpr std::size_t toleratedCrashes = 3;
    const auto& crashes = fleet.crashesOf(deadly);
    if (crashes.size() < toleratedCrashes)
        return 0;
    const Milliseconds due = crashes[toleratedCrashes - 1] + reactionTime;
    const auto& arrivals = fleet.arrivalsOf(deadly);
    return static_cast<std::size_t>(
        std::count_if(arrivals.begin(), arrivals.end(), [&](Milliseconds arrival) { return arrival > due; }));
}

}

// Guards against a request that crashes one endpoint after the other because its crashes are seen by many gateways.
TEST_CASE("A request that crashes endpoints is refused at all gateways soon after its third crash")
{
    constexpr std::size_t toleratedArrivals = 3;
    for (const char* path : { "/draft/1", "/read/1", "/write/1" }) {
        for (const FleetSize& size : fleetSizes) {
            for (const double share : { 0.05, 0.15, 0.4 }) {
                for (const std::uint64_t deadlyRequests : { 1, 5 }) {
                    for (const std::uint64_t seed : { 1, 2, 3 }) {
                        CAPTURE(path);
                        CAPTURE(size.gateways);
                        CAPTURE(share);
                        CAPTURE(deadlyRequests);
                        CAPTURE(seed);
                        EngineFleet fleet({ size.gateways, size.endpoints, seed, 0.02, path });
                        Traffic traffic(fleet, size.requestsPerSecond, seed);
                        traffic.play(Milliseconds(4000), 0, 1);
                        traffic.play(Milliseconds(22000), share, deadlyRequests);
                        for (std::uint64_t index = 0; index < deadlyRequests; ++index)
                            CHECK(lateArrivals(fleet, Traffic::deadly(index), size.reactionTime) <= toleratedArrivals);
                    }
                }
            }
        }
    }
}

// Guards against sound requests that are refused because they were running beside a deadly one.
TEST_CASE("Sound requests that run beside requests that crash endpoints are not refused as suspects")
{
    for (const FleetSize& size : fleetSizes) {
        EngineFleet fleet({ size.gateways, size.endpoints, 4, 0.02, "/read/1" });
        Traffic traffic(fleet, size.requestsPerSecond, 4);
        traffic.play(Milliseconds(20000), 0.15, 1);
        CAPTURE(size.gateways);
        CHECK(fleet.outcome().quarantined == 0);
    }
}

namespace {

GossipMessage messageFromPeer(std::uint64_t sequence)
{
    GossipMessage message;
    message.instance = GatewayId("gateway-2");
    message.sequence = sequence;
    return message;
}

/** Breaks the connection of a request. @return a peer's message that the request's endpoint refused a connection. */
GossipMessage breakConnection(GatewayScenario& scenario, Fingerprint fingerprint, std::uint64_t sequence)
{
    scenario.sendRequestWithFingerprint("/write/1", fingerprint);
    const auto endpoint = static_cast<std::uint32_t>(hashOf(scenario.lastExchange()->endpoint.get()));
    scenario.endExchange(ExchangeEnd::Broken);
    GossipMessage message = messageFromPeer(sequence);
    message.refusedConnections.push_back({ endpoint, Milliseconds(0) });
    return message;
}

}

// Guards against crashes that no gateway counts, because one sees the broken connection and another the refused one.
TEST_CASE("An endpoint that refused a connection of another gateway has crashed")
{
    GatewayScenario scenario;
    scenario.start();
    const Fingerprint fingerprint(4711);
    for (std::uint64_t crash = 1; crash <= 2; ++crash) {
        const GossipMessage message = breakConnection(scenario, fingerprint, crash);
        scenario.advance(Milliseconds(200)).handle(GossipReceived { message });
        scenario.advance(Milliseconds(3000)).refreshFromStore();
    }
    scenario.clearActions();
    scenario.sendRequestWithFingerprint("/write/1", fingerprint);
    const auto refused = scenario.lastAction<RefuseRequest>();
    REQUIRE(refused);
    CHECK(refused->failure.code == ErrorCode::Quarantined);
}

// Guards against sound requests that stay suspects at the other gateways after they completed at one.
TEST_CASE("A suspect that completes is cleared, and other gateways are told")
{
    GatewayScenario scenario;
    scenario.start();
    const Fingerprint fingerprint(4711);
    scenario.handle(GossipReceived { breakConnection(scenario, fingerprint, 1) });
    scenario.sendRequestWithFingerprint("/read/1", fingerprint);
    scenario.respond(GatewayScenario::success());
    scenario.endExchange(ExchangeEnd::Complete);
    scenario.clearActions();
    scenario.advance(Milliseconds(1000));
    const auto sent = scenario.lastAction<SendGossip>();
    REQUIRE(sent);
    REQUIRE(sent->gossip.suspects.suspects.size() == 1);
    CHECK(sent->gossip.suspects.suspects.front().deaths == 0);
    GossipMessage late = messageFromPeer(2);
    late.suspects.suspects.push_back({ fingerprint, 2, Milliseconds(60000) });
    scenario.handle(GossipReceived { late }).clearActions();
    scenario.sendRequestWithFingerprint("/read/1", fingerprint);
    CHECK(scenario.lastAction<StartExchange>());
}
