#pragma once

#include "ports/EntryPorts.h"

namespace teaselfold {

/** Port to the agents: manages the links to them and pushes link events into the router duty's ring. */
class AgentLinks {
public:
    virtual ~AgentLinks() = default;
    /** Sends a message, or drops it when the link is down. Never blocks. */
    virtual void send(const EndpointId& endpoint, const EntryMessage& message) = 0;
    /** Opens a new connection and drops an existing one without waiting for it to close. */
    virtual void open(const EndpointId& endpoint, const Address& address) = 0;
    /** Closes the connection, if one exists. */
    virtual void close(const EndpointId& endpoint) = 0;
};

/** Port to the callers: passes messages to the threads that serve them. */
class Callers {
public:
    virtual ~Callers() = default;
    /** Delivers a message, or drops it when the caller has disconnected. Never blocks. */
    virtual void deliver(RequestId request, const CallerMessage& message) = 0;
};

/** Port to the platform's table, object store and instance list. */
class Platform {
public:
    virtual ~Platform() = default;
    /**
     * Queues an operation. Its PlatformReply is pushed into the ring of the duty that submitted it.
     * @return false when the queue is full.
     */
    virtual bool submit(const PlatformOperation& operation) = 0;
};

/** Port to logs and metrics. Thread-safe. */
class Telemetry {
public:
    virtual ~Telemetry() = default;
    virtual void log(const LogEvent& event) = 0;
    virtual void observe(const Observation& observation) = 0;
};

}
