#pragma once

#include "ports/AgentPorts.h"

namespace teaselfold {

/**
 * Port to the entries: sends messages on their links. Link events and received messages are pushed into the agent
 * duty's ring.
 */
class EntryLinks {
public:
    virtual ~EntryLinks() = default;
    /** Sends a message, or drops it when the link is down. Never blocks. */
    virtual void send(const EntryId& entry, const AgentMessage& message) = 0;
};

/** Port to the model engine that runs beside the agent. Its EngineEvents are pushed into the agent duty's ring. */
class Engine {
public:
    virtual ~Engine() = default;
    /** Queues a command. Never blocks. @return false when the queue is full; the command was not executed. */
    virtual bool submit(const EngineCommand& command) = 0;
};

/** Port to the plain service that runs beside the agent. Its ServiceEvents are pushed into the agent duty's ring. */
class PlainService {
public:
    virtual ~PlainService() = default;
    /** Queues a call. Never blocks. @return false when the queue is full; the call was not executed. */
    virtual bool submit(const ServiceForward& forward) = 0;
};

}
