#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

void drain(GatewayScenario& scenario, const std::string& name)
{
    EndpointRecord record = GatewayScenario::engineEndpoint(name);
    record.isDraining = true;
    scenario.handle(EndpointsChanged { { record }, {} });
}

/** Moves a stream that has no replica: its run is stopped, and it has begun to resume at the target of the copy. */
void moveStream(GatewayScenario& scenario)
{
    scenario.start().disableReplicas();
    scenario.sendRequest("/draft/1");
    scenario.respond(GatewayScenario::streamStart());
    const ExchangeId exchange = scenario.lastExchange()->exchange;
    scenario.handle(EventsRelayed { exchange, 5 });
    drain(scenario, scenario.lastExchange()->endpoint.get());
    scenario.handle(MigrationResponseReceived { exchange, MigrationOutcome::Copied, KvCacheHandle("h1") });
    REQUIRE(scenario.lastAction<StartMigration>()->stopsSource);
    scenario.handle(MigrationResponseReceived { exchange, MigrationOutcome::Copied, KvCacheHandle("h2") })
        .handle(ExchangeEnded { exchange, ExchangeEnd::Broken });
    REQUIRE(scenario.lastExchange()->resume);
    REQUIRE(scenario.lastExchange()->resume->handle == KvCacheHandle("h2"));
    scenario.clearActions();
}

}

// Guards against streams that are cut because one connection to the target of their migration failed: the copy can be
// used once only, so another try runs nothing twice.
TEST_CASE("A run that was stopped for a migration is resumed again when the first try did not reach an engine")
{
    struct Break {
        std::string what;
        void (*apply)(GatewayScenario& scenario);
    };
    const Break breaks[] = {
        { "not connected", [](GatewayScenario& scenario) { scenario.endExchange(ExchangeEnd::NotConnected); } },
        { "broken before its response", [](GatewayScenario& scenario) { scenario.endExchange(ExchangeEnd::Broken); } },
        { "refused as not run", [](GatewayScenario& scenario) { scenario.respond(GatewayScenario::notRunRefusal()); } },
    };
    for (const Break& each : breaks) {
        CAPTURE(each.what);
        GatewayScenario scenario;
        moveStream(scenario);
        each.apply(scenario);
        CHECK_FALSE(scenario.lastAction<AbortResponse>());
        const auto next = scenario.lastAction<StartExchange>();
        CHECK(next);
        if (next) {
            REQUIRE(next->parameters.resume);
            CHECK(next->parameters.resume->lastEventId == 5);
        }
    }
}

// Guards against a second try that reaches an engine seconds after it or its zone went out of use.
TEST_CASE("A second try to resume a stopped run respects a target that has been leaving for a while")
{
    for (const bool isZoneOut : { false, true }) {
        CAPTURE(isZoneOut);
        GatewayScenario scenario;
        moveStream(scenario);
        if (isZoneOut)
            scenario.handle(OutOfServiceZonesRead { { ZoneId("north") } });
        else
            drain(scenario, scenario.lastExchange()->endpoint.get());
        scenario.advance(Milliseconds(3000)).clearActions();
        scenario.endExchange(ExchangeEnd::Broken);
        CHECK_FALSE(scenario.lastAction<StartExchange>());
    }
}

// Guards against a second use of a copy that the target has already taken.
TEST_CASE("A stopped run that its target has accepted is not resumed from the same copy again")
{
    GatewayScenario scenario;
    moveStream(scenario);
    scenario.respond(GatewayScenario::streamStart());
    scenario.clearActions();
    scenario.endExchange(ExchangeEnd::Broken);
    CHECK_FALSE(scenario.lastAction<StartExchange>());
}

// Guards against a stop that cuts streams whose runs the gateway itself has just stopped.
TEST_CASE("A run that was stopped for a migration resumes although a stop signal came meanwhile")
{
    GatewayScenario scenario;
    scenario.start().disableReplicas();
    scenario.sendStream(8000);
    scenario.respond(GatewayScenario::streamStart());
    const ExchangeId exchange = scenario.lastExchange()->exchange;
    scenario.handle(EventsRelayed { exchange, 5 });
    drain(scenario, scenario.lastExchange()->endpoint.get());
    scenario.handle(MigrationResponseReceived { exchange, MigrationOutcome::Copied, KvCacheHandle("h1") });
    REQUIRE(scenario.lastAction<StartMigration>()->stopsSource);
    scenario.handle(GatewayStopRequested { scenario.now() }).clearActions();
    scenario.handle(MigrationResponseReceived { exchange, MigrationOutcome::Copied, KvCacheHandle("h2") })
        .handle(ExchangeEnded { exchange, ExchangeEnd::Broken });
    CHECK(scenario.lastAction<StartExchange>());
    CHECK_FALSE(scenario.lastAction<AbortResponse>());
}
