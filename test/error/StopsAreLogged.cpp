#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

/** @return the value of a field of the only log event of that name; empty if there is no such event or field. */
std::string loggedField(const GatewayActions& actions, const std::string& event, const std::string& key)
{
    std::string value;
    int found = 0;
    for (const GatewayAction& action : actions) {
        const auto* line = std::get_if<LogEvent>(&action);
        if (!line || line->name != event)
            continue;
        ++found;
        for (const LogField& field : line->fields) {
            if (field.key == key)
                value = field.value;
        }
    }
    CHECK(found <= 1);
    return value;
}

}

// Guards against requests that an exit cuts without a trace in the log.
TEST_CASE("A stop at its limit logs each request that it cuts, and how the others ended")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.sendRequest("/write/1");
    scenario.handle(GatewayStopRequested { scenario.now() });
    scenario.respond(GatewayScenario::success());
    scenario.endExchange(ExchangeEnd::Complete);
    scenario.sendRequest("/draft/1");
    scenario.respond(GatewayScenario::streamStart());
    scenario.handle(EventsRelayed { scenario.lastExchange()->exchange, 5 });
    const EndpointId endpoint = scenario.lastExchange()->endpoint;
    GatewayLimits limits = scenario.gatewayUnderTest().limits();
    limits.stopLimit = Milliseconds(3000);
    scenario.handle(LimitsChanged { limits }).advance(Milliseconds(2700)).refreshFromStore();
    scenario.sendRequest("/draft/2");
    scenario.clearActions();
    scenario.advance(Milliseconds(300));
    const GatewayActions actions = scenario.takeActions();
    CHECK(loggedField(actions, "cut", "request") == "caller-2");
    CHECK(loggedField(actions, "cut", "endpoint") == endpoint.get());
    CHECK(loggedField(actions, "cut", "progress") == "streaming");
    CHECK(loggedField(actions, "cut", "sent_ms_ago") == "3000");
    CHECK(loggedField(actions, "cut", "last_event") == "5");
    CHECK(loggedField(actions, "stop_complete", "completed") == "1");
    CHECK(loggedField(actions, "stop_complete", "refused") == "1");
    CHECK(loggedField(actions, "stop_complete", "cut") == "1");
    scenario.advance(Milliseconds(500));
    CHECK(loggedField(scenario.takeActions(), "stop_complete", "cut").empty());
}

// Guards against a stop signal whose late handling no line shows.
TEST_CASE("A stopping gateway logs how long after the signal it heard of it")
{
    GatewayScenario scenario;
    scenario.start().clearActions();
    scenario.handle(GatewayStopRequested { scenario.now() - Milliseconds(420) });
    CHECK(loggedField(scenario.takeActions(), "stopping", "heard_after_ms") == "420");
}

// Guards against streams that end without a hint why no other endpoint took them.
TEST_CASE("A stream that cannot resume logs the state of the endpoint with its copy")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.sendRequest("/draft/1");
    scenario.respond(GatewayScenario::streamStart());
    scenario.handle(EventsRelayed { scenario.lastExchange()->exchange, 5 });
    scenario.handle(OutOfServiceZonesRead { { ZoneId("north") } }).clearActions();
    scenario.loseEngine();
    CHECK(loggedField(scenario.takeActions(), "not_resumed", "endpoint_state") == "zone_out");
}

// Guards against requests that wait for an endpoint and are refused in a stop without a trace in the log.
TEST_CASE("A waiting request that a stop refuses is logged")
{
    GatewayLimits limits;
    limits.stopLimit = Milliseconds(3000);
    limits.queueWaitFraction = 10;
    GatewayScenario scenario(limits);
    scenario.start();
    ResponseSummary full = GatewayScenario::notRunRefusal();
    full.restTime = Milliseconds(5000);
    for (int endpoint = 0; endpoint < 3; ++endpoint) {
        scenario.sendRequest("/write/1");
        scenario.respond(full);
    }
    scenario.sendRequest("/write/2");
    scenario.handle(GatewayStopRequested { scenario.now() })
        .advance(Milliseconds(2500))
        .refreshFromStore()
        .clearActions();
    scenario.advance(Milliseconds(200));
    const GatewayActions actions = scenario.takeActions();
    CHECK(loggedField(actions, "refused", "request") == "caller-4");
    CHECK(loggedField(actions, "refused", "reason") == "stopping");
}

// Guards against callers whose connection ends on the gateway's side and which the log shows as callers that left.
TEST_CASE("A request whose caller's connection ends is logged with the reason, its endpoint and its progress")
{
    GatewayScenario scenario;
    scenario.start();
    const RequestId request = scenario.sendRequest("/draft/1");
    scenario.respond(GatewayScenario::streamStart());
    scenario.handle(EventsRelayed { scenario.lastExchange()->exchange, 5 });
    scenario.advance(Milliseconds(100)).clearActions();
    scenario.handle(RequestAbandoned { request, "write_failed" });
    const GatewayActions actions = scenario.takeActions();
    CHECK(loggedField(actions, "abandoned", "reason") == "write_failed");
    CHECK(loggedField(actions, "abandoned", "endpoint") == scenario.lastExchange()->endpoint.get());
    CHECK(loggedField(actions, "abandoned", "progress") == "streaming");
    CHECK(loggedField(actions, "abandoned", "last_event") == "5");
    CHECK(loggedField(actions, "abandoned", "age_ms") == "100");
}

// Guards against requests that time out without a trace of what their endpoint was doing.
TEST_CASE("A request that times out is logged with its endpoint and its progress")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.sendRequest("/write/1");
    scenario.clearActions();
    scenario.advance(Milliseconds(6000));
    const GatewayActions actions = scenario.takeActions();
    CHECK(loggedField(actions, "timed_out", "endpoint") == scenario.lastExchange()->endpoint.get());
    CHECK(loggedField(actions, "timed_out", "progress") == "sent");
    CHECK(loggedField(actions, "timed_out", "run") == "unknown");
}

// Guards against responses whose last part a closed connection or an exit discards without a trace.
TEST_CASE("A response that is not written whole is logged")
{
    GatewayScenario scenario;
    scenario.start().clearActions();
    scenario.handle(ResponseLost { "caller-1", "exit", 700 });
    const GatewayActions actions = scenario.takeActions();
    CHECK(loggedField(actions, "response_lost", "request") == "caller-1");
    CHECK(loggedField(actions, "response_lost", "reason") == "exit");
    CHECK(loggedField(actions, "response_lost", "unsent_bytes") == "700");
}
