#pragma once

#include "ports/Time.h"

#include <cstddef>

namespace teaselfold {

/** What a process can spare for its callers, all their connections together. */
struct CallerBudgetLimits {
    std::size_t memoryBytes { 0 };
    /** Connections of callers and all others together; a process keeps some more for endpoints. */
    std::size_t connections { 0 };
    /** Time in which a caller must take some of an answer that is ready for it. */
    Milliseconds unreadLimit { 0 };
};

}
