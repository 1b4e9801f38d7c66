#pragma once

#include "adapters/http/AdminApi.h"
#include "adapters/http/ReceiveTimeoutMonitor.h"

#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <functional>
#include <memory>
#include <optional>

namespace teaselfold::Internal {

/** Bound the time that a client takes for its request and for the response. */
struct AdminExchangeMonitors {
    ReceiveTimeoutMonitor requests;
    ReceiveTimeoutMonitor responses;
};

/** An HTTP server on one port with its own thread pool. */
class AdminListener {
public:
    using ServeFunction = std::function<AdminResponse(const AdminRequest&)>;

    /** @param serve handles a request; called concurrently from the listener's threads. */
    AdminListener(const Address& listen, std::uint16_t threads, ServeFunction serve);
    ~AdminListener();

    /** Binds the port and starts serving. @return the failure if the port cannot be bound. */
    std::optional<Failure> start();
    /** Serves the requests that were received whole and closes the port. Waits a short time at most for clients.
     * Idempotent. */
    void stop();

private:
    Address listen;
    ServeFunction serve;
    AdminExchangeMonitors monitors;
    Poco::ThreadPool pool;
    std::unique_ptr<Poco::Net::TCPServer> server;
};

}
