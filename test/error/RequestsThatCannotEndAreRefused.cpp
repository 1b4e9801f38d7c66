#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

GatewayRequest streamWithin(std::uint64_t id, Milliseconds timeout)
{
    GatewayRequest request;
    request.id = RequestId(id);
    request.callerRequestId = "caller-" + std::to_string(id);
    request.method = "POST";
    request.host = "host.example";
    request.path = "/draft/1";
    request.key = "key-a";
    request.callerTimeout = timeout;
    request.promptTokens = 1000;
    request.maxOutputTokens = 2000;
    request.fingerprint = Fingerprint(id);
    return request;
}

/** Lets streams of 100 events end, 40 ms apart. */
void runStreams(GatewayScenario& scenario, int count)
{
    for (int stream = 0; stream < count; ++stream) {
        scenario.sendStream(2000);
        scenario.respond(GatewayScenario::streamStart());
        for (std::uint64_t event = 1; event <= 100; ++event) {
            scenario.advance(Milliseconds(40));
            scenario.handle(EventsRelayed { scenario.lastExchange()->exchange, event });
        }
        scenario.endExchange(ExchangeEnd::Complete);
        scenario.refreshFromStore();
    }
}

}

// Load: callers that came back late, or that state a short time, ask for outputs that take longer. Without the refusal
// they hold an engine until their deadline and get half of an answer.
TEST_CASE("A stream that would not end by its deadline at any engine is refused at once")
{
    GatewayScenario scenario;
    scenario.start();
    runStreams(scenario, 60);
    for (const bool hasTime : { false, true }) {
        CAPTURE(hasTime);
        scenario.clearActions();
        scenario.handle(RequestArrived { streamWithin(hasTime ? 10001 : 10002, Milliseconds(hasTime ? 4500 : 700)) });
        CHECK(scenario.lastAction<StartExchange>().has_value() == hasTime);
        const auto refused = scenario.lastAction<RefuseRequest>();
        REQUIRE(refused.has_value() != hasTime);
        if (refused) {
            CHECK(refused->failure.code == ErrorCode::NoCapacity);
            CHECK(refused->failure.run == Executed::No);
            CHECK(refused->failure.retryAfter > Milliseconds(0));
        }
    }
}

TEST_CASE("A stream is not refused on an assumption about its length")
{
    GatewayScenario scenario;
    scenario.start();
    scenario.handle(RequestArrived { streamWithin(10001, Milliseconds(700)) });
    CHECK(scenario.lastAction<StartExchange>());
}
