#pragma once

#include "ports/Time.h"

#include <cstddef>
#include <cstdint>

namespace teaselfold {

/** Fixed bounds of a router. */
struct RouterLimits {
    /** A configuration sent or asked for is sent or asked for again when nothing came of it for so long. */
    Milliseconds deliveryWait { 1000 };
    /** Links per service; all endpoints when there are fewer. */
    std::size_t linksPerService { 32 };
    /** Silence on a link after which a new connection is opened. */
    Milliseconds silenceLimit { 3000 };
    /** Time a new connection may take before the next one is tried. */
    Milliseconds connectTimeout { 1000 };
    /** Time without contact after which the work at an endpoint counts as lost. */
    Milliseconds lossTimeout { 4000 };
    /** Interval of the heartbeats to agents. */
    Milliseconds heartbeatPeriod { 1000 };
    /** Gap between two ticks that shows that this process was paused. */
    Milliseconds pauseGap { 2000 };
    /** Attempts to run one request, the first included. */
    std::uint32_t maxAttempts { 4 };
    /** Retries allowed per new request. */
    double retryBudgetRatio { 0.1 };
    /** Retries allowed however little traffic there is, in each floor time. */
    double retryFloor { 10 };
    Milliseconds retryFloorTime { 10000 };
    /** Retries that can be saved up. */
    double retryCeiling { 200 };
    /** Endpoint deaths after which a request is refused. */
    std::uint32_t deathLimit { 2 };
    /** How long a suspect is remembered after its last death. */
    Milliseconds quarantineTime { 300000 };
    /** Reports of a death at one endpoint within this time are the same death. */
    Milliseconds deathWindow { 2000 };
    /** Tokens handed to a caller's thread and not yet taken by its connection. */
    std::uint32_t callerWindow { 512 };
    /** How long the last tokens of a whole stream may wait for the caller's connection. */
    Milliseconds tailTimeout { 30000 };
    /** Leading bytes of a prompt that choose the endpoints with a likely cached prefix. */
    std::size_t prefixBytes { 256 };
    /** Deadline of a request that names none. */
    Milliseconds defaultBudget { 600000 };
    /** Time until a refused Interactive caller should try again; Standard waits twice, Batch four times as long. */
    Milliseconds retryAfter { 1000 };
};

}
