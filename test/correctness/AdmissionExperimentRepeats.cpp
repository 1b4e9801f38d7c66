#include "emulator/experiment/AdmissionExperiment.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

ExperimentSettings smallRun(const std::string& policy, std::uint64_t seed)
{
    ExperimentSettings settings;
    settings.engine.blocks = 400;
    settings.workload.seed = seed;
    settings.workload.requestsPerSecond = 3;
    settings.workload.length = Seconds(30);
    settings.workload.kinds = { defaultKinds().front(), defaultKinds()[1] };
    settings.workload.teams = defaultTeams();
    settings.policy.admission = policy;
    return settings;
}

}

TEST_CASE("equal settings give equal results, and each request has exactly one outcome")
{
    for (const char* policy : { "conditional", "unlimited", "fixed-slots", "reserve-max" }) {
        const ExperimentResult one = runAdmissionExperiment(smallRun(policy, 3));
        const ExperimentResult two = runAdmissionExperiment(smallRun(policy, 3));
        const Tally first = one.recorder.total();
        const Tally second = two.recorder.total();
        CHECK(first.tokens == second.tokens);
        CHECK(first.stall == second.stall);
        CHECK(one.preemptions == two.preemptions);
        CHECK(first.sent == first.completed + first.refused + first.failed + first.lost);
        CHECK(first.lost == 0);
        CHECK(first.corrupt == 0);
        CHECK(first.completed > 0);
    }
}

TEST_CASE("the number of arrivals matches the configured rate with and without bursts")
{
    WorkloadSettings workload = smallRun("conditional", 1).workload;
    workload.requestsPerSecond = 20;
    workload.length = Seconds(500);
    CHECK(makeArrivals(workload).size() == doctest::Approx(10000).epsilon(0.05));
    workload.burstInterval = Seconds(10);
    workload.burstLength = Seconds(1);
    workload.burstFactor = 4;
    CHECK(makeArrivals(workload).size() == doctest::Approx(13000).epsilon(0.05));
}
