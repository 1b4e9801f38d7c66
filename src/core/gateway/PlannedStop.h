#pragma once

#include "ports/Time.h"

#include <cstdint>

namespace teaselfold {

/** A planned stop of the gateway, and how many requests ended in which way since it was requested. */
struct PlannedStop {
    /** When the process got the stop signal. */
    Instant requestedAt;
    std::uint64_t completed { 0 };
    /** Requests that were answered as not run. */
    std::uint64_t refused { 0 };
    std::uint64_t failed { 0 };
    /** Streams that went on at another endpoint; those that then ended count there too. */
    std::uint64_t resumed { 0 };
    /** Requests that were in progress when the stop reached its limit; they also count as refused or failed. */
    std::uint64_t cut { 0 };
    /** No request is accepted any more, and the process is about to exit. */
    bool isComplete { false };
};

}
