#pragma once

#include "core/agent/AgentLimits.h"
#include "emulator/EngineSettings.h"
#include "emulator/load/LoadRecorder.h"
#include "emulator/load/Workload.h"
#include "ports/Outcome.h"

#include <cstdint>
#include <map>

namespace teaselfold {

/** Settings of an experiment with the admission controller of one agent and one emulated engine. */
struct ExperimentSettings {
    EngineSettings engine;
    WorkloadSettings workload;
    /** Admission strategy and its settings, as in a release note. */
    ServicePolicy policy;
    AgentLimits limits;
    /** Requests that arrive during this first part of the workload are sent but not counted. */
    Duration warmUp { 0 };
    /**
     * Requests that arrive during this last part of the workload keep up the load until the counted requests have
     * ended. They are not counted.
     */
    Duration coolDown { 0 };
    /** Whether the agent sees the team of each request. If false, all requests share the queue of one team. */
    bool distinguishesTeams { true };
};

/** Outcomes and counters of one run. */
struct ExperimentResult {
    LoadRecorder recorder;
    /** Preemptions after the warm-up. */
    std::uint64_t preemptions { 0 };
    /** Generations submitted to the engine after the warm-up. */
    std::uint64_t started { 0 };
    /** Refusals of counted requests by error code. */
    std::map<ErrorCode, std::uint64_t> refusals;
    std::uint64_t engineCrashes { 0 };

    /** @return number of preemptions per 1,000 started generations; zero if none was started. */
    double preemptionsPerThousand() const;
};

/**
 * Runs a workload through the admission controller and the engine with a manual clock.
 * @return the outcomes; equal settings give equal outcomes.
 */
ExperimentResult runAdmissionExperiment(const ExperimentSettings& settings);

/**
 * Measures the throughput of the engine under constant backlog when the output lengths are known in advance: a request
 * starts as soon as the peak memory of the batch, computed from the true lengths, fits. Admission policies only
 * estimate the lengths, so none of them has this information.
 * @param workload request kinds, teams and seed; its rate and length are not used.
 * @return completed requests per second.
 */
double measureCapacity(const EngineSettings& engine, const WorkloadSettings& workload);

}
