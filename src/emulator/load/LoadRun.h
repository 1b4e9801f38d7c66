#pragma once

#include "emulator/load/LoadClient.h"
#include "emulator/load/LoadSchedule.h"
#include "runtime/Duty.h"

#include <cstdint>
#include <string>
#include <vector>

namespace teaselfold {

/** Settings of a run of the load tool. */
struct LoadSettings {
    LoadTarget target;
    WorkloadSettings workload;
    std::vector<ScheduledCall> schedule;
    /** Base URLs of engines whose counters are read before and after the run. */
    std::vector<std::string> engineUrls;
    /** Id prefix of the endpoints that the schedule disturbs; empty for none. All others are reported as one group. */
    std::string disturbedPrefix;
    std::size_t clientThreads { 256 };
};

/** Counters from the reports of engines. */
struct EngineCounters {
    std::uint64_t preemptions { 0 };
    /** Prompt tokens that were reused from the prefix cache. */
    std::uint64_t promptTokensReused { 0 };
    std::uint64_t promptTokensComputed { 0 };
};

/** A scheduled call and its HTTP status; status 0 if there was no response. */
struct ScheduledCallResult {
    ScheduledCall call;
    int status { 0 };
};

/** Measurements of a run. */
struct LoadResult {
    LoadRecorder recorder;
    std::string disturbedPrefix;
    /** Start of the workload, to which the times of arrivals and calls are relative. */
    Instant startTime;
    std::vector<ScheduledCallResult> calls;
    /** Requests that were not sent because all client threads were busy and their queue was full. */
    std::uint64_t unsent { 0 };
    /** Increases of the counters during the run, summed over all engines in `enginesRead`. */
    EngineCounters engineCounters;
    /** Number of engines whose counters were read both times without a restart in between. */
    std::uint64_t enginesRead { 0 };
};

/**
 * Generates open-loop load: requests are sent at the times of the workload, independent of the answers. One thread
 * enqueues the arrivals, one makes the scheduled calls, one records; a fixed pool of client threads sends the requests
 * and reads the streams.
 */
LoadResult runLoad(const LoadSettings& settings);

}
