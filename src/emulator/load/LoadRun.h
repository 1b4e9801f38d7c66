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
    std::vector<std::string> engineUrls;
    /** Prefix of the endpoints that the schedule disturbs; empty for none. The others are reported as one group. */
    std::string disturbedPrefix;
    std::size_t clientThreads { 256 };
};

/** What engines count themselves. */
struct EngineCounters {
    std::uint64_t preemptions { 0 };
    /** Prompt tokens whose state was taken from the prefix cache. */
    std::uint64_t promptReused { 0 };
    std::uint64_t promptComputed { 0 };
};

/** What a scheduled call was answered. */
struct ScheduledCallResult {
    ScheduledCall call;
    int status { 0 };
};

/** What a run measured. */
struct LoadResult {
    LoadRecorder recorder;
    std::string disturbedPrefix;
    /** When the first request could be due. */
    Instant startTime;
    std::vector<ScheduledCallResult> calls;
    /** Arrivals that found all client threads and their queue busy; they were not sent. */
    std::uint64_t unsent { 0 };
    /** Sums over the engines read, for the time of the run. */
    EngineCounters engineCounters;
    /** Engines that answered both readings without a restart between them. */
    std::uint64_t enginesRead { 0 };
};

/**
 * Sends the workload at its own pace, whatever the answers do. One thread paces the arrivals, one makes the scheduled
 * calls, one records; a bounded pool of client threads reads the streams.
 */
LoadResult runLoad(const LoadSettings& settings);

}
