#include "core/gateway/OutputLengths.h"
#include "emulator/SeededRandomness.h"
#include "support/GatewayScenario.h"

#include <doctest/doctest.h>

#include <cmath>

using namespace teaselfold;

namespace {

constexpr std::uint64_t longest = 2000;

OutputRequest request(std::uint64_t estimate, const char* team = "team-a")
{
    return { "draft", TeamId(team), estimate, longest };
}

/** Draws output lengths around 300 tokens, and estimates that are off by a factor of three for one in three. */
class SampleStreams {
public:
    std::uint64_t length()
    {
        return std::clamp<std::uint64_t>(static_cast<std::uint64_t>(300 * std::exp(this->deviation())), 4, longest);
    }
    std::uint64_t estimateOf(std::uint64_t length)
    {
        return static_cast<std::uint64_t>(static_cast<double>(length) * std::exp(1.2 * this->deviation())) + 1;
    }

private:
    /** @return a value with a mean of zero and a standard deviation of about one. */
    double deviation()
    {
        double sum = 0;
        for (int draw = 0; draw < 12; ++draw)
            sum += static_cast<double>(this->randomness.next() % 1'000'000) / 1'000'000;
        return sum - 6;
    }

    SeededRandomness randomness { 7 };
};

double errorOf(std::uint64_t expected, std::uint64_t actual)
{
    return std::abs(std::log(static_cast<double>(expected) / static_cast<double>(actual)));
}

}

// Load: callers' estimates are off by a factor of three or more for one stream in three.
TEST_CASE("Forecasts of output lengths are closer than the callers' estimates")
{
    OutputLengths lengths;
    SampleStreams streams;
    double forecastError = 0;
    double estimateError = 0;
    for (int stream = 0; stream < 400; ++stream) {
        const std::uint64_t actual = streams.length();
        const OutputRequest sample = request(streams.estimateOf(actual));
        if (stream >= 50) {
            forecastError += errorOf(expectedLength(lengths.forecast(sample)), actual);
            estimateError += errorOf(sample.estimate, actual);
        }
        lengths.recordEnd(sample, actual);
    }
    CHECK(forecastError < 0.8 * estimateError);
}

// Load: a caller states an output of billions of tokens where the route's streams have a few hundred.
TEST_CASE("A made-up estimate is bounded by the longest allowed output and by the route's lengths")
{
    OutputLengths lengths;
    CHECK(expectedLength(lengths.forecast(request(4'000'000'000'000))) <= longest);
    for (int stream = 0; stream < 100; ++stream)
        lengths.recordEnd(request(300), 300);
    CHECK(expectedLength(lengths.forecast(request(4'000'000'000'000))) < 600);
    OutputRequest unlimited = request(std::numeric_limits<std::uint64_t>::max());
    unlimited.maximum = 0;
    CHECK(expectedLength(lengths.forecast(unlimited)) < 600);
}

// Load: a stream outlives its expected length.
TEST_CASE("The remainder of a stream follows from the lengths that exceed its output so far")
{
    const LikelyLengths lengths { 100, 200, 300, 1000 };
    CHECK(expectedLength(lengths) == 400);
    CHECK(expectedRemainder(lengths, 0) == 400);
    CHECK(expectedRemainder(lengths, 250) == 400);
    CHECK(expectedRemainder(lengths, 900) == 100);
    CHECK(expectedRemainder(lengths, 1000) == 500);
}

// Load: engines are reclaimed before long streams end, so most streams that end are short.
TEST_CASE("Streams that are cut off are not taken for short ones")
{
    OutputLengths lengths;
    OutputLengths endsOnly;
    for (int stream = 0; stream < 60; ++stream) {
        const bool isCut = stream % 3 != 0;
        const std::uint64_t tokens = isCut ? 400 : (stream % 2 == 0 ? 200 : 900);
        if (isCut)
            lengths.recordCut(request(0), tokens);
        else
            lengths.recordEnd(request(0), tokens);
        endsOnly.recordEnd(request(0), tokens);
    }
    CHECK(expectedLength(lengths.forecast(request(0))) > expectedLength(endsOnly.forecast(request(0))));
}

// Load: one team's outputs are many times longer than those of the other teams of its route.
TEST_CASE("A team's own lengths count once there are enough of them")
{
    OutputLengths lengths;
    for (int stream = 0; stream < 200; ++stream)
        lengths.recordEnd(request(0), 100);
    CHECK(expectedLength(lengths.forecast(request(0, "team-b"))) < 150);
    for (int stream = 0; stream < 60; ++stream)
        lengths.recordEnd(request(0, "team-b"), 1500);
    CHECK(expectedLength(lengths.forecast(request(0, "team-b"))) > 800);
    CHECK(expectedLength(lengths.forecast(request(0))) < 500);
}

TEST_CASE("Without an estimate or enough ended streams, half of the longest output is expected")
{
    OutputLengths lengths;
    CHECK(expectedLength(lengths.forecast(request(0))) == longest / 2);
    lengths.recordEnd(request(0), 30);
    CHECK(expectedLength(lengths.forecast(request(0))) == longest / 2);
    OutputRequest nothingKnown = request(0);
    nothingKnown.maximum = 0;
    CHECK(expectedLength(lengths.forecast(nothingKnown)) == 0);
}

// Load: configurations add and remove routes all day.
TEST_CASE("Routes that are not used any more are forgotten")
{
    OutputLengths lengths;
    OutputRequest used = request(0);
    for (int route = 0; route < 1000; ++route) {
        OutputRequest other = request(0);
        other.route = "route-" + std::to_string(route);
        for (int stream = 0; stream < 10; ++stream) {
            lengths.recordEnd(other, 1600);
            lengths.recordEnd(used, 100);
        }
    }
    CHECK(expectedLength(lengths.forecast(used)) < 150);
    OutputRequest forgotten = request(0);
    forgotten.route = "route-0";
    CHECK(expectedLength(lengths.forecast(forgotten)) == longest / 2);
}

// Load: the same, through a gateway. The engine is reserved what the stream is expected to hold.
TEST_CASE("A gateway reserves KV cache by the lengths of the streams that ended")
{
    GatewayScenario scenario;
    scenario.start();
    const auto reservedTokens = [&] {
        scenario.advance(Milliseconds(1000)).refreshFromStore().clearActions();
        scenario.sendStream(2000);
        scenario.advance(Milliseconds(1000));
        const auto gossip = scenario.lastAction<SendGossip>();
        return gossip->gossip.usages.front().tokens;
    };
    CHECK(reservedTokens() == 2000);
    for (int stream = 0; stream < 30; ++stream) {
        scenario.respond(GatewayScenario::streamStart());
        scenario.handle(EventsRelayed { scenario.lastExchange()->exchange, 25 });
        scenario.endExchange(ExchangeEnd::Complete);
        scenario.sendStream(2000);
    }
    scenario.respond(GatewayScenario::streamStart());
    scenario.endExchange(ExchangeEnd::Complete);
    CHECK(reservedTokens() < 1000 + 200);
}
