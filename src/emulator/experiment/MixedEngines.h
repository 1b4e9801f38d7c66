#pragma once

#include "emulator/experiment/AdmissionExperiment.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace teaselfold {

/** An engine of the mix with what it completes at most. */
struct MeasuredEngine {
    std::string name;
    EngineSettings engine;
    /** Requests per second, from measureCapacity. */
    double capacity { 0 };
};

/** Figures of several engines that ran the same policy, taken together. */
struct AggregateResult {
    Tally total;
    std::map<PriorityClass, Tally> byClass;
    std::map<TeamId, Tally> byTeam;
    std::map<ErrorCode, std::uint64_t> refusals;
    std::uint64_t preemptions { 0 };
    std::uint64_t started { 0 };
    std::uint64_t engineCrashes { 0 };

    void add(const ExperimentResult& result);

    /** @return preemptions per 1,000 generations started. */
    double preemptionsPerThousand() const;
};

/**
 * Three engines, as back ends bought over years differ: half the speed with half the memory, the plain one, and twice
 * the speed with twice the memory.
 */
std::vector<EngineSettings> mixedEngines();

/** @return the engines with their capacity for the workload. */
std::vector<MeasuredEngine> measureEngines(const WorkloadSettings& workload);

/**
 * Settings of one engine in steady state: counted requests arrive when the load has lasted for a while, and it lasts
 * until the longest budget of the last of them is over. Without this, work left over by an overload runs after the
 * arrivals have ended, and no policy is late.
 * @param counted time during which arriving requests are counted.
 * @param load share of the engine's capacity that arrives.
 */
ExperimentSettings steadyStateSettings(const MeasuredEngine& engine, std::uint64_t seed, Duration counted, double load);

}
