#pragma once

#include "adapters/http/AdminApi.h"

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include <functional>
#include <memory>
#include <optional>

namespace teaselfold::Internal {

/** An HTTP server on one port with its own threads. */
class AdminListener {
public:
    using Serve = std::function<AdminResponse(const AdminRequest&)>;

    /** @param serve called from the listener's threads, several at once. */
    AdminListener(const Address& listen, std::uint16_t threads, Serve serve);
    ~AdminListener();

    /** Binds the port. @return the reason when it cannot be bound. */
    std::optional<Failure> start();
    /** Finishes the requests in progress and closes the port. Idempotent. */
    void stop();

private:
    Address listen;
    Serve serve;
    Poco::ThreadPool pool;
    std::unique_ptr<Poco::Net::HTTPServer> server;
};

}
