#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

#include <vector>

using namespace teaselfold;

namespace {

/** Moves a stream past its start to another engine: it has begun to resume there, and its source takes nothing more. */
void moveStream(GatewayScenario& scenario)
{
    scenario.start().disableReplicas();
    scenario.sendRequest("/draft/1");
    scenario.respond(GatewayScenario::streamStart());
    const ExchangeParameters source = *scenario.lastExchange();
    scenario.handle(EventsRelayed { source.exchange, 1 }).advance(Milliseconds(1200));
    scenario.handle(EventsRelayed { source.exchange, 5 });
    EndpointRecord leaving = GatewayScenario::engineEndpoint(source.endpoint.get());
    leaving.isDraining = true;
    scenario.handle(EndpointsChanged { { leaving }, {} });
    scenario.handle(MigrationResponseReceived { source.exchange, MigrationOutcome::Copied, KvCacheHandle("h1") });
    REQUIRE(scenario.lastAction<StartMigration>()->stopsSource);
    scenario.handle(EndpointsChanged { {}, { source.endpoint } });
    scenario.handle(MigrationResponseReceived { source.exchange, MigrationOutcome::Copied, KvCacheHandle("h2") })
        .handle(ExchangeEnded { source.exchange, ExchangeEnd::Broken });
    REQUIRE(scenario.lastExchange()->resume);
    scenario.clearActions();
}

/** Fails a try to resume, as a connection that cannot be established in time or is lost. */
void loseTry(GatewayScenario& scenario, ExchangeEnd end)
{
    scenario.clearActions();
    if (end == ExchangeEnd::NotConnected)
        scenario.advance(Milliseconds(250));
    scenario.endExchange(end);
}

}

// Guards against streams that are cut because a machine gets no processor, or a link loses connections, for half a
// second: their callers wait for seconds, and the copy is kept.
TEST_CASE("A stopped run whose first tries to resume were lost is tried again within a second")
{
    for (const ExchangeEnd end : { ExchangeEnd::NotConnected, ExchangeEnd::Broken }) {
        CAPTURE(static_cast<int>(end));
        GatewayScenario scenario;
        moveStream(scenario);
        const EndpointId target = scenario.lastExchange()->endpoint;
        loseTry(scenario, end);
        REQUIRE(scenario.lastAction<StartExchange>());
        loseTry(scenario, end);
        scenario.advance(Milliseconds(1000));
        CHECK_FALSE(scenario.lastAction<AbortResponse>());
        const auto next = scenario.lastAction<StartExchange>();
        REQUIRE(next);
        CHECK(next->parameters.endpoint == target);
        REQUIRE(next->parameters.resume);
        CHECK(next->parameters.resume->handle == KvCacheHandle("h2"));
        CHECK(next->parameters.resume->lastEventId == 5);
        scenario.respond(GatewayScenario::streamStart());
        CHECK(scenario.lastAction<RelayResponse>());
    }
}

// Guards against tries without end, and against tries in a burst.
TEST_CASE("The tries to resume a stopped run are few, and at growing intervals")
{
    GatewayLimits limits;
    limits.retryHeadroom = 500;
    GatewayScenario scenario(limits);
    moveStream(scenario);
    std::vector<Instant> tries { scenario.now() };
    scenario.endExchange(ExchangeEnd::Broken);
    for (int step = 0; step < 70 && !scenario.lastAction<AbortResponse>(); ++step) {
        if (scenario.lastAction<StartExchange>()) {
            tries.push_back(scenario.now());
            loseTry(scenario, ExchangeEnd::Broken);
        } else
            scenario.advance(Milliseconds(50));
    }
    CHECK(scenario.lastAction<AbortResponse>());
    REQUIRE(tries.size() > 3);
    CHECK(tries.size() <= 6);
    for (std::size_t next = 3; next < tries.size(); ++next)
        CHECK(tries[next] - tries[next - 1] > tries[next - 1] - tries[next - 2]);
}

// Guards against later tries that leave the retry budget out of account.
TEST_CASE("The tries to resume a stopped run keep to the retry budget")
{
    GatewayLimits limits;
    limits.retryHeadroom = 0;
    GatewayScenario scenario(limits);
    moveStream(scenario);
    int tries = 1;
    for (int step = 0; step < 70 && !scenario.lastAction<AbortResponse>(); ++step) {
        if (scenario.lastAction<StartExchange>()) {
            ++tries;
            loseTry(scenario, ExchangeEnd::Broken);
        } else if (step == 0)
            scenario.endExchange(ExchangeEnd::Broken);
        else
            scenario.advance(Milliseconds(50));
    }
    CHECK(scenario.lastAction<AbortResponse>());
    CHECK(tries == 1);
}

// Guards against waiting for a copy that the engine has stated not to have.
TEST_CASE("A stopped run that was refused as not run twice is given up at once")
{
    GatewayScenario scenario;
    moveStream(scenario);
    scenario.respond(GatewayScenario::notRunRefusal());
    scenario.respond(GatewayScenario::notRunRefusal());
    CHECK(scenario.lastAction<AbortResponse>());
}

// Guards against tries for callers that have left, whose time is over, or whose gateway has cut them at its exit.
TEST_CASE("A stopped run that waits for its next try gets none after its request is over")
{
    struct Ending {
        std::string what;
        void (*apply)(GatewayScenario& scenario);
    };
    const Ending endings[] = {
        { "caller left",
            [](GatewayScenario& scenario) {
                scenario.handle(RequestAbandoned { RequestId(1), "" });
            } },
        { "target is gone",
            [](GatewayScenario& scenario) {
                scenario.handle(EndpointsChanged { {}, { scenario.lastExchange()->endpoint } });
            } },
    };
    for (const Ending& ending : endings) {
        CAPTURE(ending.what);
        GatewayScenario scenario;
        moveStream(scenario);
        scenario.advance(Milliseconds(500));
        scenario.endExchange(ExchangeEnd::Broken);
        scenario.endExchange(ExchangeEnd::Broken);
        CHECK_FALSE(scenario.lastAction<AbortResponse>());
        ending.apply(scenario);
        scenario.clearActions();
        scenario.advance(Milliseconds(5000));
        CHECK_FALSE(scenario.lastAction<StartExchange>());
    }
}

// Guards against tries at a target that has been leaving for so long that it takes no more requests.
TEST_CASE("A stopped run that waits for its next try gets none at a target that has been leaving for half a second")
{
    GatewayScenario scenario;
    moveStream(scenario);
    EndpointRecord target = GatewayScenario::engineEndpoint(scenario.lastExchange()->endpoint.get());
    target.isDraining = true;
    scenario.advance(Milliseconds(500));
    scenario.endExchange(ExchangeEnd::Broken);
    scenario.endExchange(ExchangeEnd::Broken);
    scenario.handle(EndpointsChanged { { target }, {} }).clearActions();
    scenario.advance(Milliseconds(500));
    const bool wasTried = scenario.lastAction<StartExchange>().has_value();
    scenario.clearActions();
    if (wasTried)
        scenario.endExchange(ExchangeEnd::Broken);
    scenario.advance(Milliseconds(5000));
    CHECK_FALSE(scenario.lastAction<StartExchange>());
}
