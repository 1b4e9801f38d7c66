#include "adapters/http/CallerServer.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/Timespan.h>

namespace teaselfold {

namespace {

    using namespace Poco::Net;

    constexpr int minThreads = 4;
    constexpr int listenBacklog = 512;

    Poco::Timespan toTimespan(Microseconds duration) { return Poco::Timespan(duration.count()); }

    /** Sets the timeouts of each new connection before its request is read. */
    class ConnectionFactory final : public TCPServerConnectionFactory {
    public:
        ConnectionFactory(CallerContext& context, HTTPServerParams::Ptr params)
            : context(context)
            , params(std::move(params))
            , handlers(new CallerHandlerFactory(context))
        {
        }

        TCPServerConnection* createConnection(const StreamSocket& socket) override
        {
            StreamSocket connection(socket);
            connection.setReceiveTimeout(toTimespan(this->context.limits.receiveTimeout));
            connection.setSendTimeout(toTimespan(this->context.limits.sendTimeout));
            connection.setNoDelay(true);
            this->context.receiveTimeoutMonitor.track(connection);
            return new HTTPServerConnection(connection, this->params, this->handlers);
        }

    private:
        CallerContext& context;
        HTTPServerParams::Ptr params;
        HTTPRequestHandlerFactory::Ptr handlers;
    };

}

CallerServer::CallerServer(Address listen, const CallerLimits& limits, CallerServerDependencies dependencies)
    : listen(std::move(listen))
    , receiveTimeoutMonitor(limits.receiveTimeout)
    , bodyMemory(limits.bodyMemoryBytes)
    , context { limits, dependencies.router, dependencies.registry, dependencies.teams, std::move(dependencies.isReady),
        this->receiveTimeoutMonitor, this->bodyMemory }
    , pool(minThreads, static_cast<int>(std::max<std::uint32_t>(minThreads, limits.threads)))
{
}

CallerServer::~CallerServer() { this->stop(); }

std::optional<Failure> CallerServer::start()
{
    HTTPServerParams::Ptr params = new HTTPServerParams;
    params->setKeepAlive(false);
    params->setTimeout(toTimespan(this->context.limits.receiveTimeout));
    params->setMaxThreads(static_cast<int>(this->context.limits.threads));
    params->setMaxQueued(static_cast<int>(this->context.limits.maxQueuedConnections));
    try {
        ServerSocket socket;
        socket.bind(SocketAddress(this->listen.host, this->listen.port), true);
        socket.listen(listenBacklog);
        this->server
            = std::make_unique<TCPServer>(new ConnectionFactory(this->context, params), this->pool, socket, params);
        this->server->start();
    } catch (const Poco::Exception& exception) {
        return Failure { ErrorCode::Internal, exception.displayText(), Executed::No };
    }
    return std::nullopt;
}

void CallerServer::stop()
{
    if (!this->server)
        return;
    this->server->stop();
    this->context.registry.waitUntilEmpty(std::chrono::steady_clock::now() + this->context.limits.sendTimeout);
    this->receiveTimeoutMonitor.stop();
    this->pool.joinAll();
    this->server.reset();
}

CallerServerBuilder& CallerServerBuilder::withAddress(Address value)
{
    this->address = std::move(value);
    return *this;
}

CallerServerBuilder& CallerServerBuilder::withLimits(const CallerLimits& values)
{
    this->limits = values;
    return *this;
}

std::unique_ptr<CallerServer> CallerServerBuilder::build(CallerServerDependencies dependencies) const
{
    return std::make_unique<CallerServer>(this->address, this->limits, std::move(dependencies));
}

}
