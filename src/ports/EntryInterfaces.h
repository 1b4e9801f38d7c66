#pragma once

#include "ports/EntryPorts.h"

namespace teaselfold {

/** Port towards the agents: carries out link actions and delivers link events into the router's ring. */
class AgentLinks {
public:
    virtual ~AgentLinks() = default;
    /** Sends a message; dropped when the link is down. Never blocks. */
    virtual void send(const EndpointId& endpoint, const EntryMessage& message) = 0;
    /** Opens a new connection, dropping an older one without waiting for it. */
    virtual void open(const EndpointId& endpoint, const Address& address) = 0;
    /** Closes the connection, if there is one. */
    virtual void close(const EndpointId& endpoint) = 0;
};

/** Port towards the callers: hands messages to the threads that serve them. */
class Callers {
public:
    virtual ~Callers() = default;
    /** Hands over a message; dropped when the caller is gone. Never blocks. */
    virtual void deliver(RequestId request, const CallerMessage& message) = 0;
};

/** Port towards the platform's table, object store and instance list. */
class Platform {
public:
    virtual ~Platform() = default;
    /** Starts an operation; its PlatformReply comes into the caller's ring. @return false when too many wait. */
    virtual bool submit(const PlatformOperation& operation) = 0;
};

/** Port towards logs and metrics. Safe to call from any thread. */
class Telemetry {
public:
    virtual ~Telemetry() = default;
    virtual void log(const LogEvent& event) = 0;
    virtual void observe(const Observation& observation) = 0;
};

}
