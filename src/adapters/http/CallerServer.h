#pragma once

#include "adapters/http/CallerContext.h"
#include "adapters/http/CallerHandlers.h"

#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <memory>
#include <optional>

namespace teaselfold {

/** What a CallerServer works with; all must outlive it. */
struct CallerPeers {
    Ring<RouterEvent>& router;
    CallerRegistry& registry;
    TeamDirectory& teams;
    std::function<bool()> isReady;
};

/**
 * The callers' port: a bounded pool of threads, one for each request in progress. Connections are closed after one
 * request, so that an idle one holds no thread.
 */
class CallerServer {
public:
    CallerServer(Address listen, const CallerLimits& limits, CallerPeers peers);
    ~CallerServer();

    /** Binds the port and serves. @return the reason when the port cannot be bound. */
    std::optional<Failure> start();
    /** Closes the port and waits until the requests in progress are answered, at most for the send limit. Idempotent.
     */
    void stop();

private:
    Address listen;
    ReceiveWatch receiveWatch;
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
    std::unique_ptr<CallerServer> build(CallerPeers peers) const;

private:
    Address address;
    CallerLimits limits;
};

}
