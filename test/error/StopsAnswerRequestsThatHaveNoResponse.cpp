#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

/** @return limits with a stop that ends before the requests of the scenario time out. */
GatewayLimits shortStop()
{
    GatewayLimits limits;
    limits.stopLimit = Milliseconds(3000);
    return limits;
}

}

// Guards against callers whose connection ends without an answer because their request still waits at its endpoint.
TEST_CASE("A stop at its limit answers a request whose endpoint has not responded as one that may have run")
{
    GatewayScenario scenario(shortStop());
    scenario.start();
    const RequestId request = scenario.sendRequest("/draft/1");
    REQUIRE(scenario.lastAction<StartExchange>());
    scenario.handle(GatewayStopRequested { scenario.now() }).clearActions();
    scenario.advance(Milliseconds(3000));
    REQUIRE(scenario.gatewayUnderTest().isStopComplete());
    const auto answer = scenario.lastAction<RefuseRequest>();
    REQUIRE(answer);
    CHECK(answer->request == request);
    CHECK(answer->failure.run == Executed::Unknown);
    CHECK(scenario.lastAction<CancelExchange>());
}
