#include "support/GatewayScenario.h"
#include "support/StoreFleet.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

/** Time after the removal of a record within which every undisturbed gateway stops sending requests to the endpoint. */
constexpr Milliseconds drainBound(2000);
/** Time after an outage of the store within which endpoints register again. */
constexpr Milliseconds reregistrationBound(2000);
/** Silence after which the platform removes the record of an endpoint. */
constexpr Milliseconds recordLifetime(3600);
constexpr Milliseconds heartbeatInterval(1200);

struct LocalOutage {
    std::size_t gateways;
    Milliseconds length;
    /** Time from the beginning of the outage to the removal of the endpoint's record. */
    Milliseconds removalDelay;
    bool resetsCalls;
};

std::vector<LocalOutage> localOutages()
{
    std::vector<LocalOutage> outages;
    for (const bool resetsCalls : { false, true }) {
        for (const std::size_t gateways : { 2U, 3U, 5U }) {
            for (Milliseconds length(300); length <= Milliseconds(5500); length += Milliseconds(400)) {
                for (Milliseconds delay(50); delay <= length + Milliseconds(1500); delay += Milliseconds(450))
                    outages.push_back({ gateways, length, delay, resetsCalls });
            }
        }
    }
    return outages;
}

/** @return the gateways that still use the endpoint, without the one that was cut off. */
std::size_t undisturbedUsers(StoreFleet& fleet, std::size_t cutGateway, const EndpointId& endpoint)
{
    std::size_t users = 0;
    for (std::size_t gateway = 0; gateway < fleet.size(); ++gateway)
        users += gateway != cutGateway && fleet.knowsAsUsable(gateway, endpoint) ? 1 : 0;
    return users;
}

void startFleet(StoreFleet& fleet)
{
    for (const char* id : { "p4", "p5" })
        fleet.writeEndpoint(GatewayScenario::plainEndpoint(id));
    fleet.advance(Milliseconds(5000));
}

}

// Guards against a grace period for the store's outage at gateways that had none: they send to an endpoint that left.
TEST_CASE("A gateway that is cut off from the store keeps no gone endpoint in use at the others of its zone")
{
    const EndpointId gone("p4");
    for (const LocalOutage& outage : localOutages()) {
        CAPTURE(outage.gateways);
        CAPTURE(outage.length.count());
        CAPTURE(outage.removalDelay.count());
        CAPTURE(outage.resetsCalls);
        // Which gateway reads the endpoints for the others is not known, so each of them is cut off once.
        for (std::size_t cutGateway = 0; cutGateway < outage.gateways; ++cutGateway) {
            CAPTURE(cutGateway);
            StoreFleet fleet({ std::vector<std::string>(outage.gateways, "north"), 1, {} });
            fleet.setResetsCalls(outage.resetsCalls);
            startFleet(fleet);
            fleet.setCutFromStore(cutGateway, true);
            const Milliseconds first = std::min(outage.removalDelay, outage.length);
            fleet.advance(first);
            if (first == outage.length)
                fleet.setCutFromStore(cutGateway, false);
            fleet.advance(outage.removalDelay - first);
            fleet.removeEndpoint(gone);
            const Milliseconds rest = std::min(outage.length - first, drainBound);
            fleet.advance(rest);
            fleet.setCutFromStore(cutGateway, false);
            fleet.advance(drainBound - rest);
            CHECK(undisturbedUsers(fleet, cutGateway, gone) == 0);
        }
    }
}

// Guards against the loss of sound endpoints whose heartbeats failed while the store was down for everyone.
TEST_CASE("After an outage in which records can expire every gateway keeps their endpoints until they registered again")
{
    for (const bool resetsCalls : { false, true }) {
        // The last heartbeat may be one interval old when the outage begins.
        for (Milliseconds length = recordLifetime - heartbeatInterval; length <= Milliseconds(7000);
             length += Milliseconds(200)) {
            for (const Milliseconds sinceReturn : { Milliseconds(0), Milliseconds(250), Milliseconds(500) }) {
                CAPTURE(resetsCalls);
                CAPTURE(length.count());
                CAPTURE(sinceReturn.count());
                StoreFleet fleet({ { "north", "north", "north", "south", "south", "east" }, 1, {} });
                fleet.setResetsCalls(resetsCalls);
                startFleet(fleet);
                fleet.setStoreDown(true);
                fleet.advance(length);
                if (sinceReturn == Milliseconds(0))
                    fleet.removeEndpoint(EndpointId("p4"));
                fleet.setStoreDown(false);
                fleet.advance(sinceReturn);
                if (sinceReturn > Milliseconds(0))
                    fleet.removeEndpoint(EndpointId("p4"));
                fleet.advance(reregistrationBound - sinceReturn);
                for (std::size_t gateway = 0; gateway < fleet.size(); ++gateway)
                    REQUIRE(fleet.knowsAsUsable(gateway, EndpointId("p4")));
                // A reading may come one retry delay after the return of the store.
                fleet.advance(Milliseconds(2500));
                for (std::size_t gateway = 0; gateway < fleet.size(); ++gateway)
                    REQUIRE_FALSE(fleet.knowsAsUsable(gateway, EndpointId("p4")));
            }
        }
    }
}

// Guards against a suspended gateway that takes its own silence for an outage of the store.
TEST_CASE("A gateway that was suspended does not keep an endpoint that left meanwhile")
{
    for (Milliseconds length(1200); length <= Milliseconds(6000); length += Milliseconds(300)) {
        for (std::size_t suspended = 0; suspended < 3; ++suspended) {
            CAPTURE(length.count());
            CAPTURE(suspended);
            StoreFleet fleet({ { "north", "north", "north" }, 1, {} });
            startFleet(fleet);
            fleet.setPaused(suspended, true);
            fleet.advance(length / 2);
            fleet.removeEndpoint(EndpointId("p4"));
            fleet.advance(length / 2);
            fleet.setPaused(suspended, false);
            fleet.advance(Milliseconds(500));
            CHECK_FALSE(fleet.knowsAsUsable(suspended, EndpointId("p4")));
        }
    }
}

// Guards against a removal that is told of again and again and extends the grace period each time.
TEST_CASE("A record that is reported as removed twice does not extend the time for which its endpoint is kept")
{
    const GatewayLimits limits;
    EndpointDirectory directory(limits);
    const Instant start(Seconds(100));
    const EndpointRecord record = GatewayScenario::plainEndpoint("p4");
    directory.applyChanges({ { record }, {} }, std::nullopt, start);
    const EndpointsChanged removal { {}, { record.id } };
    CHECK(directory.applyChanges(removal, start + Milliseconds(1000), start).kept.size() == 1);
    CHECK(directory.applyChanges(removal, start + Milliseconds(3000), start).kept.empty());
    CHECK(directory.expire(start + Milliseconds(1000)) == std::vector { record.id });
}
