#pragma once

#include "adapters/http/AdminApi.h"

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include <functional>
#include <memory>
#include <optional>

namespace teaselfold::Internal {

/** An HTTP server on one port with its own thread pool. */
class AdminListener {
public:
    using ServeFunction = std::function<AdminResponse(const AdminRequest&)>;

    /** @param serve handles a request; called concurrently from the listener's threads. */
    AdminListener(const Address& listen, std::uint16_t threads, ServeFunction serve);
    ~AdminListener();

    /** Binds the port and starts serving. @return the failure if the port cannot be bound. */
    std::optional<Failure> start();
    /** Finishes the requests in progress and closes the port. Idempotent. */
    void stop();

private:
    Address listen;
    ServeFunction serve;
    Poco::ThreadPool pool;
    std::unique_ptr<Poco::Net::HTTPServer> server;
};

}
