#pragma once

#include "emulator/experiment/AdmissionExperiment.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace teaselfold {

/** An emulated engine and its measured capacity. */
struct MeasuredEngine {
    std::string name;
    EngineSettings engine;
    /** Requests per second as returned by measureCapacity. */
    double capacity { 0 };
};

/** Sums over several experiments with the same policy on different engines. */
struct AggregateResult {
    Tally total;
    std::map<PriorityClass, Tally> byClass;
    std::map<TeamId, Tally> byTeam;
    std::map<ErrorCode, std::uint64_t> refusals;
    std::uint64_t preemptions { 0 };
    std::uint64_t started { 0 };
    std::uint64_t engineCrashes { 0 };

    void add(const ExperimentResult& result);

    /** @return number of preemptions per 1,000 started generations; zero if none was started. */
    double preemptionsPerThousand() const;
};

/**
 * Engines of three hardware generations, as in a fleet that was bought over several years.
 * @return an engine of half the default speed and memory, the default engine, and one of twice the speed and memory.
 */
std::vector<EngineSettings> mixedEngines();

/** @return the engines of mixedEngines with their capacity for the workload. */
std::vector<MeasuredEngine> measureEngines(const WorkloadSettings& workload);

/**
 * Creates the settings of an experiment in steady state: counted requests arrive after a warm-up, and the load
 * continues for the longest budget of any kind after the last of them. If the load ended earlier, the backlog of an
 * overload would be served after the last arrival, and no policy would miss a deadline.
 * @param counted time during which arriving requests are counted.
 * @param load arrival rate as a share of the engine's capacity.
 */
ExperimentSettings steadyStateSettings(const MeasuredEngine& engine, std::uint64_t seed, Duration counted, double load);

}
