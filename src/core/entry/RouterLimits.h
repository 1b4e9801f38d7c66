#pragma once

#include "ports/Time.h"

#include <cstddef>
#include <cstdint>

namespace teaselfold {

/** Limits and timeouts of a router. */
struct RouterLimits {
    /** Time after which an unconfirmed configuration is sent again, or an unanswered request for one repeated. */
    Milliseconds fleetResendInterval { 1000 };
    /** Maximum number of links per service, which is the size of the subset. */
    std::size_t linksPerService { 32 };
    /** Time without messages on a link after which a new connection is opened. */
    Milliseconds silenceLimit { 3000 };
    /** Time after which an unfinished connection attempt is replaced by a new one. */
    Milliseconds connectTimeout { 1000 };
    /** Time without contact after which the work at an endpoint counts as lost. */
    Milliseconds lossTimeout { 4000 };
    /** Interval of the heartbeats to agents. */
    Milliseconds heartbeatPeriod { 1000 };
    /** Gap between two events above which this process is considered to have been paused. */
    Milliseconds pauseGap { 2000 };
    /** Maximum number of attempts per request, including the first. */
    std::uint32_t maxAttempts { 4 };
    /** Retries that each new request adds to the budget. */
    double retryBudgetRatio { 0.1 };
    /** Retries allowed in each `retryWindow`, however low the traffic is. */
    double minRetries { 10 };
    Milliseconds retryWindow { 10000 };
    /** Maximum number of saved retries. */
    double retryCapacity { 200 };
    /** Endpoint deaths after which a request is refused. */
    std::uint32_t deathLimit { 2 };
    /** How long a suspect is kept after the last endpoint death that counted against it. */
    Milliseconds quarantineTime { 300000 };
    /** Reports of a death at one endpoint within this time count as one death. */
    Milliseconds deathWindow { 2000 };
    /** Flow-control window: maximum number of tokens sent to a caller's thread and not yet taken by its connection. */
    std::uint32_t callerWindow { 512 };
    /** How long the last tokens of a finished stream may wait for the caller's connection. */
    Milliseconds unacknowledgedTimeout { 30000 };
    /** Leading bytes of a prompt that are hashed to find endpoints likely to have the prefix cached. */
    std::size_t prefixBytes { 256 };
    /** Time to the deadline of a request that specifies none. */
    Milliseconds defaultBudget { 600000 };
    /** Retry delay for refused Interactive callers; Standard waits twice as long, Batch four times. */
    Milliseconds retryAfter { 1000 };
};

}
