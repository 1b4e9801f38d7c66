#pragma once

#include "emulator/load/LoadClient.h"
#include "emulator/load/LoadSchedule.h"
#include "runtime/Duty.h"

#include <cstdint>
#include <string>
#include <vector>

namespace teaselfold {

/** A run of the load tool. */
struct LoadSettings {
    LoadTarget target;
    WorkloadSettings workload;
    std::vector<ScheduledCall> schedule;
    /** Base URLs of engines whose reports are read before and after. */
    std::vector<std::string> engines;
    std::size_t clientThreads { 256 };
};

/** What a scheduled call was answered. */
struct ScheduledResult {
    ScheduledCall call;
    int status { 0 };
};

/** What a run measured. */
struct LoadResult {
    LoadRecorder record;
    std::vector<ScheduledResult> calls;
    /** Arrivals that found all client threads and their queue busy; they were not sent. */
    std::uint64_t unsent { 0 };
    /** Preemptions at the engines during the run. */
    std::uint64_t preemptions { 0 };
    /** Engines that answered both readings without a restart between them. */
    std::uint64_t enginesRead { 0 };
};

/**
 * Sends the workload at its own pace, whatever the answers do. One thread paces the arrivals, one makes the scheduled
 * calls, one records; a bounded pool of client threads reads the streams.
 */
LoadResult runLoad(const LoadSettings& settings);

}
