#pragma once

#include "ports/Time.h"

#include <cstddef>
#include <cstdint>

namespace teaselfold {

/** Bounds and waiting times of an agent's decisions. */
struct AgentLimits {
    /** Time between two load reports to each entry. */
    Duration reportInterval { Seconds(1) };
    /** How long an ended and acknowledged generation is kept for a resume. */
    Duration acknowledgedRetention { Seconds(30) };
    /** How long an ended generation whose tokens nobody acknowledged is kept. */
    Duration unacknowledgedRetention { Seconds(60) };
    /** How long a running generation waits for an entry after its link is gone. */
    Duration orphanGrace { Seconds(30) };
    /** How long the id of work that will never run is remembered. */
    Duration tombstoneLifetime { Seconds(300) };
    /** A gap between two events that is longer than this means the process was paused. */
    Duration pauseGap { Seconds(2) };
    /** After a pause, heartbeats that waited in buffers are not trusted for this long. */
    Duration staleHeartbeatWindow { Milliseconds(300) };
    /** No start is tried for this long after the engine refused one. */
    Duration engineBackoff { Milliseconds(200) };
    /** Time without an answer from the engine's report port after which it counts as dead. */
    Duration engineTimeout { Seconds(5) };
    /** Time between two orders of the same kind to the engine, and between two tries at the fencing row. */
    Duration orderInterval { Seconds(10) };
    /** Whether work whose wait is expected to outlast its budget is refused at once. */
    bool refusesUnreachableDeadlines { true };
    /** Tokens sent to an entry and not acknowledged. */
    std::uint32_t flowWindow { 1024 };
    /** Generations of one priority class, or calls, that wait. */
    std::size_t queueCapacity { 256 };
    /** Generations of one priority class, or calls, of one team that wait. */
    std::size_t queueCapacityPerTeam { 128 };
    /** Tries to attach to a generation's stream again. */
    std::uint32_t streamResumes { 3 };
    /** Engine refusals of one generation before the agent refuses it too. */
    std::uint32_t maxEngineRefusals { 5 };
    /** Calls in progress at the plain service. */
    std::size_t maxConcurrentCalls { 64 };
    /** How long a claim's write is tried before the call is refused. */
    Duration claimWriteTimeout { Seconds(2) };
    /** Time between two tries of a write to the table. */
    Duration storeRetryInterval { Milliseconds(500) };
    /** How long an answer waits for its record in the table. */
    Duration recordWriteTimeout { Seconds(1) };
    /** How long a call waits for the answer of another run of its key. */
    Duration duplicateCallTimeout { Seconds(10) };
    /** How long a planned stop waits for the table. */
    Duration stopTimeout { Seconds(30) };
    /** Longest answer that is kept in the table, in bytes. */
    std::size_t maxStoredAnswerBytes { std::size_t { 256 } * 1024 };
};

}
