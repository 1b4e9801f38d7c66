#pragma once

#include "ports/Time.h"

#include <cstdint>

namespace teaselfold {

/** Times and sizes of the control duty's decisions. */
struct ControlLimits {
    /** Time between two reads of notes, orders and instances. */
    Duration pollInterval { Seconds(1) };
    /** Longest wait of an operator for the outcome of a publish. */
    Duration publishTimeout { Seconds(8) };
    /** Time between two tries of a write or read-back that the table did not answer. */
    Duration retryInterval { Milliseconds(500) };
    /** An operation without a reply for this long counts as not answered. */
    Duration operationTimeout { Seconds(5) };
    /** Longest wait of an operator for the table's confirmation of an order. */
    Duration orderConfirmationTimeout { Seconds(1) };
    /** Time after which an order that another entry left unrecorded is recorded by this one. */
    Duration orderTakeoverDelay { Seconds(5) };
    /** A longer time between two ticks means that the process was paused. */
    Duration pauseGap { Seconds(2) };
    /** In an outage, time from the first configuration of a peer until the highest seen is taken as in force. */
    Duration peerConfigurationDelay { Seconds(2) };
    /** Release versions between two snapshots. */
    std::uint64_t versionsPerSnapshot { 64 };
    /** Rows asked for in one scan. */
    std::uint32_t scanLimit { 100 };
};

}
