#pragma once

#include "core/agent/AgentLimits.h"
#include "emulator/EngineSettings.h"
#include "emulator/load/LoadRecorder.h"
#include "emulator/load/Workload.h"
#include "ports/Outcome.h"

#include <cstdint>
#include <map>

namespace teaselfold {

/** One agent's admission before one engine. */
struct ExperimentSettings {
    EngineSettings engine;
    WorkloadSettings workload;
    /** Strategy and its settings, as in a release note. */
    PolicyChoice policy;
    AdmissionLimits limits;
    /** Requests that arrive earlier are sent but not counted. */
    Duration warmUp { 0 };
    /** Arrivals of this last part of the workload keep the load up while the counted requests end; not counted. */
    Duration coolDown { 0 };
    /** Whether the agent knows which team sends; when not, all share one line. */
    bool distinguishesTeams { true };
};

/** What the callers of one run got. */
struct ExperimentResult {
    LoadRecorder recorder;
    /** After the warm-up. */
    std::uint64_t preemptions { 0 };
    /** Generations handed to the engine after the warm-up. */
    std::uint64_t started { 0 };
    /** Refusals of counted requests by their reason. */
    std::map<ErrorCode, std::uint64_t> refusals;
    /** Times the engine died. */
    std::uint64_t engineCrashes { 0 };

    /** @return preemptions per 1,000 generations started. */
    double preemptionsPerThousand() const;
};

/** Runs a workload through the admission and the engine under a manual clock. Equal settings give equal results. */
ExperimentResult runAdmissionExperiment(const ExperimentSettings& settings);

/**
 * Measures what the engine completes when work always waits and a request starts as soon as the batch's greatest
 * memory, worked out from true output lengths, fits. No policy that learns lengths can know as much.
 * @param workload kinds, teams and seed; its rate is not used.
 * @return requests per second.
 */
double measureCapacity(const EngineSettings& engine, const WorkloadSettings& workload);

}
