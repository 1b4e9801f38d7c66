#pragma once

#include "ports/Time.h"

#include <cstddef>
#include <cstdint>

namespace teaselfold {

/** Limits and timeouts of an agent. */
struct AgentLimits {
    /** Interval between load reports to each entry. */
    Duration reportInterval { Seconds(1) };
    /** How long an ended generation is kept for a resume after all its tokens were acknowledged. */
    Duration acknowledgedRetention { Seconds(30) };
    /** How long an ended generation is kept while some of its tokens are not acknowledged. */
    Duration unacknowledgedRetention { Seconds(60) };
    /** How long a generation waits for an entry to resume it after the link to its entry is lost. */
    Duration orphanGrace { Seconds(30) };
    /** How long the tombstone of work that must never run is kept. */
    Duration tombstoneLifetime { Seconds(300) };
    /** A longer gap between two events means that the process was paused. */
    Duration pauseGap { Seconds(2) };
    /** How long heartbeats are not trusted after a pause, since they may have waited in buffers. */
    Duration staleHeartbeatWindow { Milliseconds(300) };
    /** No generation is started for this long after the engine refused one. */
    Duration engineBackoff { Milliseconds(200) };
    /** Time without an answer from the engine after which its running generations fail. */
    Duration engineTimeout { Seconds(5) };
    /** Minimum interval between two rounds of orders to the engine. */
    Duration orderInterval { Seconds(10) };
    /** Whether work that is expected to miss its deadline is refused on arrival. */
    bool refusesUnreachableDeadlines { true };
    /** Most tokens of a generation that are sent to an entry and not yet acknowledged. */
    std::uint32_t flowWindow { 1024 };
    /** Most queued generations of one priority class, or most queued calls. */
    std::size_t queueCapacity { 256 };
    /** Most queued generations of one team in one priority class, or most queued calls of one team. */
    std::size_t queueCapacityPerTeam { 128 };
    /** Most consecutive attempts to resume a generation's stream; a new token resets the count. */
    std::uint32_t maxStreamResumes { 3 };
    /** Refusals of one generation by the engine after which the agent refuses it too. */
    std::uint32_t maxEngineRefusals { 5 };
    /** Most calls in progress at the plain service. */
    std::size_t maxConcurrentCalls { 64 };
    /** How long writing a claim is retried before the call is refused. */
    Duration claimWriteTimeout { Seconds(2) };
    /** Interval between attempts to read or write the platform's table. */
    Duration storeRetryInterval { Milliseconds(500) };
    /** Longest time that an answer is held back while its record is written to the table. */
    Duration recordWriteTimeout { Seconds(1) };
    /** How long a call waits for the answer of an earlier, unfinished call with the same key. */
    Duration duplicateCallTimeout { Seconds(10) };
    /** How long a planned stop waits for outstanding writes to the table. */
    Duration stopTimeout { Seconds(30) };
    /** Largest answer that is stored in the table, in bytes. */
    std::size_t maxStoredAnswerBytes { std::size_t { 256 } * 1024 };
};

}
