#include "core/agent/AdmissionStrategy.h"
#include "core/agent/FairQueue.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

QueueItem itemOf(std::uint64_t id, const char* team, PriorityClass priority = PriorityClass::Standard)
{
    return { GenerationId(id), TeamId(team), priority, 100 };
}

}

TEST_CASE("quantiles of the output length are conditional on the tokens generated so far")
{
    LengthModel lengths;
    for (int count = 0; count < 900; ++count)
        lengths.observe(PriorityClass::Standard, 20);
    for (int count = 0; count < 100; ++count)
        lengths.observe(PriorityClass::Standard, 10000);
    CHECK(lengths.conditionalQuantile(PriorityClass::Standard, 0, 0.5, 0) < 40);
    CHECK(lengths.conditionalQuantile(PriorityClass::Standard, 2000, 0.5, 0) > 5000);
    CHECK(lengths.conditionalQuantile(PriorityClass::Standard, 2000, 0.5, 2500) == 2500);
    CHECK(lengths.conditionalQuantile(PriorityClass::Standard, 100000, 0.5, 0) > 100000);
}

TEST_CASE("admission reserves memory for the expected growth of the batch")
{
    LengthModel lengths;
    PaceModel pace;
    WarmUp warmUp;
    for (int count = 0; count < 8; ++count)
        warmUp.observeFinished(Instant(Seconds(20 * count)));
    for (int count = 0; count < 1000; ++count)
        lengths.observe(PriorityClass::Standard, 1000);
    EngineView view { {}, 4000, 0.8, 16, Milliseconds(50), lengths, pace, warmUp };
    const GenerationSize newGeneration { 100, 0, 0, PriorityClass::Standard };
    view.running = { newGeneration };
    CHECK(admissionStrategy("conditional").admits(view, newGeneration));
    view.running = { newGeneration, newGeneration, newGeneration };
    CHECK_FALSE(admissionStrategy("conditional").admits(view, newGeneration));
    CHECK(admissionStrategy("unlimited").admits(view, newGeneration));
    CHECK_FALSE(admissionStrategy("reserve-max").admits(view, newGeneration));
}

TEST_CASE("the batch does not grow beyond the size whose expected time between tokens meets the target")
{
    PaceModel pace;
    for (int round = 0; round < 50; ++round) {
        for (std::uint32_t batch = 1; batch <= 10; ++batch)
            pace.observe(batch, Milliseconds(10 + 2 * batch), Instant {});
    }
    CHECK(pace.allows(8, Milliseconds(26)));
    CHECK_FALSE(pace.allows(9, Milliseconds(26)));
    CHECK(pace.allows(10, Milliseconds(50)));
    bool collapsed = false;
    for (int count = 0; count < 48; ++count)
        collapsed = pace.observe(4, Milliseconds(400), Instant {});
    CHECK(collapsed);
}

TEST_CASE("the pace of a single generation collapses after a run of slow gaps, not after one")
{
    PaceModel pace;
    Instant now(Seconds(1));
    for (int count = 0; count < 50; ++count)
        pace.observe(1, Milliseconds(20), now += Milliseconds(20));
    CHECK_FALSE(pace.observe(1, Milliseconds(2000), now += Milliseconds(2000)));
    CHECK_FALSE(pace.observe(1, Milliseconds(20), now += Milliseconds(20)));
    for (int count = 0; count < 4; ++count)
        CHECK_FALSE(pace.observe(1, Milliseconds(400), now += Milliseconds(400)));
    CHECK(pace.observe(1, Milliseconds(400), now += Milliseconds(400)));
}

TEST_CASE("a cold endpoint runs one generation, at most three during its first seconds of work, and later becomes warm")
{
    WarmUp warmUp;
    CHECK(warmUp.concurrencyLimit() == 1);
    for (int count = 0; count < 20; ++count)
        warmUp.observeFinished(Instant(Seconds(1)));
    CHECK(warmUp.concurrencyLimit() == 3);
    for (int count = 0; count < 6; ++count)
        warmUp.observeFinished(Instant(Seconds(12)));
    CHECK_FALSE(warmUp.isCold());
    warmUp.reset();
    CHECK(warmUp.concurrencyLimit() == 1);
}

TEST_CASE("a flooding team does not delay another team, and higher classes go first")
{
    FairQueue queue(100);
    for (std::uint64_t id = 1; id <= 20; ++id)
        queue.push(itemOf(id, "large"), 1);
    queue.push(itemOf(100, "small"), 1);
    queue.push(itemOf(200, "large", PriorityClass::Interactive), 1);
    std::vector<std::uint64_t> order;
    for (int count = 0; count < 4; ++count) {
        order.push_back(queue.front()->id.get());
        queue.pop();
    }
    CHECK(order[0] == 200);
    CHECK(std::find(order.begin(), order.end(), 100) != order.end());
    CHECK(queue.remove(itemOf(20, "large")));
    CHECK_FALSE(queue.remove(itemOf(20, "large")));
    CHECK(queue.size() == 17);
}

TEST_CASE("a lower class leaves memory free for the classes above it")
{
    LengthModel lengths;
    PaceModel pace;
    WarmUp warmUp;
    for (int count = 0; count < 8; ++count)
        warmUp.observeFinished(Instant(Seconds(20 * count)));
    const EngineView view { { { 3500, 100, 101, PriorityClass::Batch } }, 4000, 0.8, 16, Milliseconds(50), lengths,
        pace, warmUp };
    const AdmissionStrategy& strategy = admissionStrategy("conditional");
    CHECK(strategy.admits(view, { 300, 0, 20, PriorityClass::Interactive }));
    CHECK_FALSE(strategy.admits(view, { 300, 0, 20, PriorityClass::Standard }));
    CHECK_FALSE(strategy.admits(view, { 300, 0, 20, PriorityClass::Batch }));
    CHECK(strategy.admits(view, { 150, 0, 20, PriorityClass::Standard }));
}

TEST_CASE("each check of the conditional strategy can be switched off for measurements")
{
    LengthModel lengths;
    PaceModel pace;
    WarmUp warmUp;
    const GenerationSize large { 3500, 0, 100, PriorityClass::Interactive };
    const EngineView cold { { large }, 100000, 0.8, 16, Milliseconds(50), lengths, pace, warmUp };
    CHECK_FALSE(admissionStrategy("conditional").admits(cold, large));
    CHECK(admissionStrategy("conditional-without-warmth").admits(cold, large));
    CHECK_FALSE(admissionStrategy("conditional-without-memory").admits(cold, large));
    CHECK_FALSE(admissionStrategy("conditional-without-pace").admits(cold, large));
}
