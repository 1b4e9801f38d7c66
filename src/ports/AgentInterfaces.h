#pragma once

#include "ports/AgentPorts.h"

namespace teaselfold {

/** Port towards the entries: sends on their links and delivers link events into the admission's ring. */
class EntryLinks {
public:
    virtual ~EntryLinks() = default;
    /** Sends a message; dropped when the link is down. Never blocks. */
    virtual void send(const EntryId& entry, const AgentMessage& message) = 0;
};

/** Port towards the model engine beside the agent. Its EngineEvents come into the admission's ring. */
class Engine {
public:
    virtual ~Engine() = default;
    /** Starts a command. Never blocks. @return false when too many commands wait; nothing of it ran. */
    virtual bool submit(const EngineCommand& command) = 0;
};

/** Port towards the plain service beside the agent. Its ServiceEvents come into the admission's ring. */
class PlainService {
public:
    virtual ~PlainService() = default;
    /** Starts a call. Never blocks. @return false when too many calls wait; nothing of it ran. */
    virtual bool submit(const ServiceForward& forward) = 0;
};

}
