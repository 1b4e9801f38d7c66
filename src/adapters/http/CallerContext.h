#pragma once

#include "adapters/http/CallerRegistry.h"
#include "adapters/http/ReceiveWatch.h"
#include "adapters/http/TeamDirectory.h"
#include "ports/EntryPorts.h"
#include "runtime/Ring.h"

#include <cstddef>
#include <functional>

namespace teaselfold {

/** Limits of the callers' port. */
struct CallerLimits {
    /** Callers served at once. */
    std::uint32_t threads { 1024 };
    /** Connections that may wait for a thread. */
    std::uint32_t queuedConnections { 256 };
    std::size_t maxBodyBytes { 1048576 };
    Milliseconds defaultDeadline { 600000 };
    Milliseconds maxDeadline { 3600000 };
    /** Time for a request to arrive whole. */
    Milliseconds receiveLimit { 30000 };
    /** Time a caller's connection may take no bytes. */
    Milliseconds sendLimit { 10000 };
};

/** What the handlers of the callers' port share. All members outlive the server. */
struct CallerContext {
    CallerLimits limits;
    Ring<RouterEvent>& router;
    CallerRegistry& registry;
    TeamDirectory& teams;
    /** @return whether the entry takes new work. */
    std::function<bool()> isReady;
    ReceiveWatch& receiveWatch;
};

}
