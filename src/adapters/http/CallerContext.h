#pragma once

#include "adapters/http/BodyMemory.h"
#include "adapters/http/CallerRegistry.h"
#include "adapters/http/ReceiveTimeoutMonitor.h"
#include "adapters/http/TeamDirectory.h"
#include "ports/EntryPorts.h"
#include "runtime/Ring.h"

#include <cstddef>
#include <functional>

namespace teaselfold {

/** Limits of the callers' port. */
struct CallerLimits {
    /** Maximum number of concurrently served callers. */
    std::uint32_t threads { 1024 };
    /** Maximum number of accepted connections that wait for a thread. */
    std::uint32_t maxQueuedConnections { 256 };
    std::size_t maxBodyBytes { 1048576 };
    /** Limit on the bodies of all requests in progress together. Small bodies are taken beyond it. */
    std::size_t bodyMemoryBytes { std::size_t { 64 } * 1024 * 1024 };
    /** Time to the deadline of a request that sets none. */
    Milliseconds defaultDeadline { 600000 };
    /** Longest time to the deadline that a request may set. */
    Milliseconds maxDeadline { 3600000 };
    /** Maximum time from accepting a connection to receiving its complete request. */
    Milliseconds receiveTimeout { 30000 };
    /** Maximum time that a write to a caller's connection may block. */
    Milliseconds sendTimeout { 10000 };
};

/** Limits and dependencies shared by the handlers of the callers' port. All references must outlive the server. */
struct CallerContext {
    CallerLimits limits;
    Ring<RouterEvent>& router;
    CallerRegistry& registry;
    TeamDirectory& teams;
    /** @return true when the entry accepts new work. */
    std::function<bool()> isReady;
    ReceiveTimeoutMonitor& receiveTimeoutMonitor;
    BodyMemory& bodyMemory;
};

}
