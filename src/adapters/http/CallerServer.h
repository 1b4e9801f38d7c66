#pragma once

#include "adapters/http/CallerContext.h"
#include "adapters/http/CallerHandlers.h"

#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <memory>
#include <optional>

namespace teaselfold {

/** Dependencies of a CallerServer. All references must outlive it. */
struct CallerServerDependencies {
    Ring<RouterEvent>& router;
    CallerRegistry& registry;
    TeamDirectory& teams;
    std::function<bool()> isReady;
};

/**
 * Serves the callers' port with a bounded pool of threads, one for each request in progress. A connection is closed
 * after one request, so that idle connections hold no thread.
 */
class CallerServer {
public:
    CallerServer(Address listen, const CallerLimits& limits, CallerServerDependencies dependencies);
    ~CallerServer();

    /** Binds the port and starts serving. @return the failure if the port cannot be bound. */
    std::optional<Failure> start();
    /** Closes the port and waits until all requests in progress have ended. Idempotent. */
    void stop();

private:
    Address listen;
    ReceiveTimeoutMonitor receiveTimeoutMonitor;
    BodyMemory bodyMemory;
    CallerContext context;
    Poco::ThreadPool pool;
    std::unique_ptr<Poco::Net::TCPServer> server;
};

/** Builds a CallerServer. */
class CallerServerBuilder {
public:
    CallerServerBuilder& withAddress(Address address);
    CallerServerBuilder& withLimits(const CallerLimits& values);
    /** @return the server, not yet started. */
    std::unique_ptr<CallerServer> build(CallerServerDependencies dependencies) const;

private:
    Address address;
    CallerLimits limits;
};

}
