#include "core/entry/Rendezvous.h"
#include "core/gateway/PauseForecast.h"
#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

constexpr Milliseconds usualInterval(30);
constexpr Milliseconds slowInterval(40);
constexpr double busyInstance = 2.5;

std::uint32_t hash(const char* endpoint) { return static_cast<std::uint32_t>(hashOf(endpoint)); }

/** @return news of three engines, of which e1 and e3 are slow. Their instances are busy for a fifth of the time. */
GossipMessage engineNews(std::uint64_t sequence, std::uint32_t slowRuns, std::uint32_t otherRuns)
{
    GossipMessage message;
    message.instance = GatewayId("gateway-2");
    message.sequence = sequence;
    message.usages
        = { { hash("e1"), slowRuns, 0, 0 }, { hash("e2"), otherRuns, 0, 0 }, { hash("e3"), slowRuns, 0, 0 } };
    const double slowdown = sequence % 5 == 0 ? busyInstance : 1;
    message.conditions = { { hash("e1"), slowInterval, slowdown, Milliseconds(0) },
        { hash("e2"), usualInterval, slowdown, Milliseconds(0) },
        { hash("e3"), slowInterval, slowdown, Milliseconds(0) } };
    return message;
}

/** @return a gateway whose streaming route allows pauses of 180 ms. */
GatewayScenario& startWithObjective(GatewayScenario& scenario)
{
    scenario.start();
    GatewayConfiguration configuration = GatewayScenario::configuration(2);
    configuration.routes.back().eventIntervalObjective = Milliseconds(180);
    scenario.handle(ConfigurationRead { std::make_shared<const GatewayConfiguration>(configuration) });
    return scenario;
}

void tellEngines(GatewayScenario& scenario, std::uint32_t slowRuns, std::uint32_t otherRuns)
{
    constexpr std::uint64_t messages = 20;
    for (std::uint64_t sequence = 1; sequence <= messages; ++sequence) {
        scenario.handle(GossipReceived { engineNews(sequence, slowRuns, otherRuns) });
        scenario.advance(Milliseconds(100));
        scenario.refreshFromStore();
    }
}

}

// Guards against long streams at engines where each prompt beside them may cause a pause that is too long.
TEST_CASE("A long stream is sent to an engine at which its pauses stay within the objective")
{
    GatewayScenario scenario;
    startWithObjective(scenario);
    tellEngines(scenario, 0, 0);
    for (int request = 0; request < 3; ++request) {
        scenario.sendStream(1600);
        CHECK(scenario.lastExchange()->endpoint == EndpointId("e2"));
    }
}

// Guards against prompts that make the long streams of a slow engine late while another engine could read them.
TEST_CASE("A prompt is not sent where it may make running streams pause for too long")
{
    GatewayScenario scenario;
    startWithObjective(scenario);
    tellEngines(scenario, 2, 4);
    scenario.sendStream(16);
    CHECK(scenario.lastExchange()->endpoint == EndpointId("e2"));
}

TEST_CASE("The risk of a pause follows the pace of the engine and the state of its instance")
{
    SlowdownShares shares;
    for (int statement = 0; statement < 40; ++statement)
        shares.record(statement % 4 == 0 ? busyInstance : 1);
    const PauseForecast forecast(shares, Milliseconds(180), usualInterval);
    const Instant now { Seconds(10) };
    const auto paceOf = [&](Milliseconds interval, double slowdown) {
        EndpointPace pace;
        pace.merge({ 1, interval, slowdown, Milliseconds(0) }, now);
        return pace;
    };
    CHECK(forecast.riskOfPrompt(paceOf(usualInterval, busyInstance), now) == doctest::Approx(0));
    CHECK(forecast.riskOfPrompt(paceOf(slowInterval, busyInstance), now) == doctest::Approx(1));
    CHECK(forecast.riskOfPrompt(paceOf(slowInterval, 1), now) == doctest::Approx(0));
    CHECK(forecast.riskOfPrompt(paceOf(slowInterval, 1), now + Seconds(5)) == doctest::Approx(0.25).epsilon(0.1));
    CHECK(forecast.riskOfStream(paceOf(slowInterval, 1), Seconds(10)) > 0.9);
    CHECK(
        PauseForecast(shares, Milliseconds(0), usualInterval).riskOfStream(paceOf(slowInterval, 1), Seconds(10)) == 0);
}
