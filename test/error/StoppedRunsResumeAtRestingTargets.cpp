#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

void drain(GatewayScenario& scenario, const EndpointId& engine)
{
    EndpointRecord record = GatewayScenario::engineEndpoint(engine.get());
    record.isDraining = true;
    scenario.handle(EndpointsChanged { { record }, {} });
}

/** Starts a stream and relays five events. @return its exchange. */
ExchangeParameters startStream(GatewayScenario& scenario)
{
    scenario.sendRequest("/draft/1");
    scenario.respond(GatewayScenario::streamStart());
    scenario.handle(EventsRelayed { scenario.lastExchange()->exchange, 5 });
    return *scenario.lastExchange();
}

}

// Guards against stopped runs that are given up because their target rests when the copies of several runs are
// complete.
TEST_CASE("Each run that was stopped for a migration resumes at its target even if the target rests by then")
{
    GatewayScenario scenario;
    scenario.start().disableReplicas();
    const ExchangeParameters first = startStream(scenario);
    ExchangeParameters second = startStream(scenario);
    for (int tries = 0; tries < 20 && second.endpoint == first.endpoint; ++tries)
        second = startStream(scenario);
    REQUIRE(second.endpoint != first.endpoint);

    // The third engine is the only one that is left as a target.
    drain(scenario, first.endpoint);
    drain(scenario, second.endpoint);
    std::vector<StartMigration> stops;
    for (const ExchangeParameters& each : { first, second }) {
        scenario.clearActions();
        scenario.handle(MigrationResponseReceived { each.exchange, MigrationOutcome::Copied, KvCacheHandle("h") });
        const auto stop = scenario.lastAction<StartMigration>();
        REQUIRE(stop);
        REQUIRE(stop->stopsSource);
        stops.push_back(*stop);
    }
    REQUIRE(stops.front().target == stops.back().target);

    // A request that the target refuses makes it rest.
    scenario.sendRequest("/draft/1");
    REQUIRE(scenario.lastExchange()->address == stops.front().target);
    ResponseSummary refusal = GatewayScenario::notRunRefusal();
    refusal.restTime = Milliseconds(2000);
    scenario.respond(refusal);

    for (const ExchangeParameters& each : { first, second }) {
        CAPTURE(each.exchange.get());
        scenario.clearActions();
        scenario.handle(MigrationResponseReceived { each.exchange, MigrationOutcome::Copied, KvCacheHandle("h") })
            .handle(ExchangeEnded { each.exchange, ExchangeEnd::Broken });
        CHECK_FALSE(scenario.lastAction<AbortResponse>());
        CHECK(scenario.lastAction<StartExchange>());
    }
}
