#pragma once

#include "ports/Time.h"

#include <cstdint>

namespace teaselfold {

/** Timeouts, intervals and sizes of the control duty. */
struct ControlLimits {
    /** Interval between two polls of notes, orders and instances. */
    Duration pollInterval { Seconds(1) };
    /** Time after which an operator gets an answer to a publish even when its outcome is unknown. */
    Duration publishTimeout { Seconds(8) };
    /** Delay before a write or read-back without a reply from the table is retried. */
    Duration retryInterval { Milliseconds(500) };
    /** Time after which an operation without a reply is treated as not answered. */
    Duration operationTimeout { Seconds(5) };
    /** Time after which an operator gets an answer to an order that the table has not confirmed. */
    Duration orderConfirmationTimeout { Seconds(1) };
    /** Time after which this entry records an order that another entry has not recorded. */
    Duration orderTakeoverDelay { Seconds(5) };
    /** Interval between two ticks above which the process is considered to have been paused. */
    Duration pauseGap { Seconds(2) };
    /** In an outage, time from the first configuration of a peer until the highest version received is accepted. */
    Duration peerConfigurationDelay { Seconds(2) };
    /** Release versions between two snapshots. */
    std::uint64_t versionsPerSnapshot { 64 };
    /** Maximum number of rows in one scan. */
    std::uint32_t scanLimit { 100 };
};

}
