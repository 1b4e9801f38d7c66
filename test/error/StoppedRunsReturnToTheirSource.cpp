#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

/** A stream whose run was stopped for a migration; the call that stopped it has not been answered. */
struct StoppedStream {
    ExchangeParameters source;
    StartMigration call;
    EndpointId target;
};

EndpointRecord recordAt(const Address& address)
{
    for (const char* name : { "e1", "e2", "e3" }) {
        if (GatewayScenario::engineEndpoint(name).address == address)
            return GatewayScenario::engineEndpoint(name);
    }
    return {};
}

StoppedStream stopRun(GatewayScenario& scenario)
{
    scenario.start().disableReplicas();
    scenario.sendRequest("/draft/1");
    scenario.respond(GatewayScenario::streamStart());
    const ExchangeParameters source = *scenario.lastExchange();
    scenario.handle(EventsRelayed { source.exchange, 5 });
    EndpointRecord leaving = GatewayScenario::engineEndpoint(source.endpoint.get());
    leaving.isDraining = true;
    scenario.handle(EndpointsChanged { { leaving }, {} });
    scenario.handle(MigrationResponseReceived { source.exchange, MigrationOutcome::Copied, KvCacheHandle("copy") });
    const auto call = scenario.lastAction<StartMigration>();
    REQUIRE(call);
    REQUIRE(call->stopsSource);
    scenario.clearActions();
    return { source, *call, recordAt(call->target).id };
}

/** Answers the call that stopped the run, and ends the source's stream. */
void answerStop(GatewayScenario& scenario, const StoppedStream& stream, MigrationOutcome outcome)
{
    scenario.handle(MigrationResponseReceived { stream.source.exchange, outcome, KvCacheHandle("kept") })
        .handle(ExchangeEnded { stream.source.exchange, ExchangeEnd::Broken });
}

/** @return true if the last action was to resume the stream at its source, from the memory that was kept there. */
bool isBackAtSource(GatewayScenario& scenario, const StoppedStream& stream)
{
    const auto started = scenario.lastAction<StartExchange>();
    return started && started->parameters.endpoint == stream.source.endpoint && started->parameters.resume
        && started->parameters.resume->holder == stream.source.address
        && started->parameters.resume->handle == KvCacheHandle("kept") && started->parameters.resume->lastEventId == 5;
}

}

// Guards against streams that are cut because the target of their migration fails, while their source, which has kept
// the memory of the stopped run, would go on with it.
TEST_CASE("A run that was stopped for a migration returns to its source when its target does not take it")
{
    struct Failure {
        std::string what;
        void (*apply)(GatewayScenario& scenario);
    };
    const Failure failures[] = {
        { "refused as not run", [](GatewayScenario& scenario) { scenario.respond(GatewayScenario::notRunRefusal()); } },
        { "not connected", [](GatewayScenario& scenario) { scenario.endExchange(ExchangeEnd::NotConnected); } },
    };
    for (const MigrationOutcome outcome : { MigrationOutcome::Copied, MigrationOutcome::NoRoom }) {
        for (const Failure& failure : failures) {
            CAPTURE(static_cast<int>(outcome));
            CAPTURE(failure.what);
            GatewayScenario scenario;
            const StoppedStream stream = stopRun(scenario);
            answerStop(scenario, stream, outcome);
            REQUIRE(scenario.lastExchange()->endpoint == stream.target);
            failure.apply(scenario);
            if (!isBackAtSource(scenario, stream))
                failure.apply(scenario);
            CHECK(isBackAtSource(scenario, stream));
            CHECK_FALSE(scenario.lastAction<AbortResponse>());
        }
    }
}

// Guards against streams that are cut because the target of their migration is gone when their run has been stopped.
TEST_CASE("A run that was stopped for a migration returns to its source when its target is gone")
{
    GatewayScenario scenario;
    const StoppedStream stream = stopRun(scenario);
    scenario.handle(EndpointsChanged { {}, { stream.target } });
    answerStop(scenario, stream, MigrationOutcome::NoRoom);
    CHECK(isBackAtSource(scenario, stream));
    CHECK_FALSE(scenario.lastAction<AbortResponse>());
}

// Guards against a second run beside one that the target may have begun.
TEST_CASE("A stopped run does not return to its source when its target may have taken it")
{
    GatewayScenario scenario;
    const StoppedStream stream = stopRun(scenario);
    answerStop(scenario, stream, MigrationOutcome::Copied);
    scenario.endExchange(ExchangeEnd::Broken);
    CHECK(scenario.lastExchange()->endpoint == stream.target);
    scenario.respond(GatewayScenario::notRunRefusal());
    CHECK(scenario.lastExchange()->endpoint == stream.target);
    CHECK(scenario.lastAction<AbortResponse>());
}

// Guards against a second run beside one that the source may have begun again.
TEST_CASE("A stopped run that its source may have taken back does not resume at its target")
{
    GatewayScenario scenario;
    const StoppedStream stream = stopRun(scenario);
    scenario.handle(EndpointsChanged { {}, { stream.target } });
    answerStop(scenario, stream, MigrationOutcome::NoRoom);
    REQUIRE(isBackAtSource(scenario, stream));
    scenario.handle(EndpointsChanged { { GatewayScenario::engineEndpoint(stream.target.get()) }, {} }).clearActions();
    scenario.endExchange(ExchangeEnd::Broken);
    scenario.endExchange(ExchangeEnd::Broken);
    for (const GatewayAction& action : scenario.takeActions()) {
        const auto* started = std::get_if<StartExchange>(&action);
        CHECK_FALSE((started && started->parameters.endpoint != stream.source.endpoint));
    }
}

// Guards against streams that end with their leaving source because it is forgotten between two of their runs there.
TEST_CASE("A run that returned to its source is moved to another target")
{
    GatewayScenario scenario;
    const StoppedStream stream = stopRun(scenario);
    answerStop(scenario, stream, MigrationOutcome::NoRoom);
    scenario.advance(Milliseconds(100));
    scenario.respond(GatewayScenario::notRunRefusal());
    REQUIRE(isBackAtSource(scenario, stream));
    scenario.respond(GatewayScenario::streamStart());
    scenario.handle(EventsRelayed { scenario.lastExchange()->exchange, 6 });
    const auto next = scenario.lastAction<StartMigration>();
    REQUIRE(next);
    CHECK(next->exchange == scenario.lastExchange()->exchange);
    CHECK(next->target != stream.call.target);
}

// Guards against requests that reach an engine or a zone later than a leaving one still takes them.
TEST_CASE("A stopped run does not return to a source that has been leaving for a while, or whose zone is out")
{
    for (const bool isZoneOut : { false, true }) {
        CAPTURE(isZoneOut);
        GatewayScenario scenario;
        const StoppedStream stream = stopRun(scenario);
        if (isZoneOut)
            scenario.handle(OutOfServiceZonesRead { { ZoneId("north") } });
        else
            scenario.advance(Milliseconds(700));
        scenario.handle(EndpointsChanged { {}, { stream.target } });
        answerStop(scenario, stream, MigrationOutcome::NoRoom);
        CHECK_FALSE(scenario.lastAction<StartExchange>());
    }
}
