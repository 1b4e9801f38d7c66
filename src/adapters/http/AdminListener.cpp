#include "adapters/http/AdminListener.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/URI.h>

#include <array>

namespace teaselfold::Internal {

namespace {

    constexpr std::size_t maxBodyBytes = 1024UL * 1024UL;
    constexpr int maxQueuedConnections = 64;
    constexpr Seconds readTimeout(5);
    constexpr Seconds writeTimeout(5);
    /** Longest time after the begin of a stop in which responses are written. */
    constexpr Milliseconds writeTimeInStop(500);

    /** @return the body, or nothing if it exceeds maxBodyBytes. */
    std::optional<std::string> readBody(std::istream& stream)
    {
        std::string body;
        std::array<char, 8192> chunk {};
        while (stream.read(chunk.data(), chunk.size()) || stream.gcount() > 0) {
            body.append(chunk.data(), static_cast<std::size_t>(stream.gcount()));
            if (body.size() > maxBodyBytes)
                return std::nullopt;
        }
        return body;
    }

    AdminRequest readRequestHead(const Poco::Net::HTTPServerRequest& request)
    {
        AdminRequest head;
        const Poco::URI uri(request.getURI());
        head.method = request.getMethod();
        uri.getPathSegments(head.path);
        for (const auto& [name, value] : uri.getQueryParameters())
            head.query.insert_or_assign(name, value);
        head.authorization = request.get("Authorization", "");
        return head;
    }

    class Handler : public Poco::Net::HTTPRequestHandler {
    public:
        Handler(const AdminListener::ServeFunction& serve, AdminExchangeMonitors& monitors)
            : serve(serve)
            , monitors(monitors)
        {
        }

        void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
        {
            const AdminResponse adminResponse = this->serveOrReject(request);
            this->monitors.responses.track(static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket());
            response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(adminResponse.status));
            response.setContentType(adminResponse.contentType);
            response.setKeepAlive(false);
            if (adminResponse.retryAfter > Milliseconds(0))
                response.set(
                    "Retry-After", std::to_string(std::chrono::ceil<Seconds>(adminResponse.retryAfter).count()));
            response.sendBuffer(adminResponse.body.data(), adminResponse.body.size());
        }

    private:
        /** Serves the request, or rejects it if it is malformed or too large. */
        AdminResponse serveOrReject(Poco::Net::HTTPServerRequest& request)
        {
            try {
                AdminRequest adminRequest = readRequestHead(request);
                std::optional<std::string> body = readBody(request.stream());
                this->monitors.requests.stopTracking(request.clientAddress().toString());
                if (!body)
                    return makeErrorResponse(ErrorCode::TooLarge, "the body is over 1 MiB");
                adminRequest.body = std::move(*body);
                return this->serve(adminRequest);
            } catch (const Poco::Exception&) {
                return makeErrorResponse(ErrorCode::BadRequest, "the request cannot be read");
            }
        }

        const AdminListener::ServeFunction& serve;
        AdminExchangeMonitors& monitors;
    };

    class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
    public:
        HandlerFactory(const AdminListener::ServeFunction& serve, AdminExchangeMonitors& monitors)
            : serve(serve)
            , monitors(monitors)
        {
        }

        Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override
        {
            return new Handler(this->serve, this->monitors);
        }

    private:
        const AdminListener::ServeFunction& serve;
        AdminExchangeMonitors& monitors;
    };

    /** A connection that is monitored from its beginning to its end. */
    class Connection final : public Poco::Net::HTTPServerConnection {
    public:
        Connection(const Poco::Net::StreamSocket& socket, Poco::Net::HTTPServerParams::Ptr parameters,
            Poco::Net::HTTPRequestHandlerFactory::Ptr handlers, AdminExchangeMonitors& monitors)
            : Poco::Net::HTTPServerConnection(socket, std::move(parameters), std::move(handlers))
            , peer(socket.peerAddress().toString())
            , monitors(monitors)
        {
            this->monitors.requests.track(socket);
        }

        ~Connection() override
        {
            this->monitors.requests.stopTracking(this->peer);
            this->monitors.responses.stopTracking(this->peer);
        }

    private:
        std::string peer;
        AdminExchangeMonitors& monitors;
    };

    class ConnectionFactory final : public Poco::Net::TCPServerConnectionFactory {
    public:
        ConnectionFactory(Poco::Net::HTTPServerParams::Ptr parameters,
            Poco::Net::HTTPRequestHandlerFactory::Ptr handlers, AdminExchangeMonitors& monitors)
            : parameters(std::move(parameters))
            , handlers(std::move(handlers))
            , monitors(monitors)
        {
        }

        Poco::Net::TCPServerConnection* createConnection(const Poco::Net::StreamSocket& socket) override
        {
            return new Connection(socket, this->parameters, this->handlers, this->monitors);
        }

    private:
        Poco::Net::HTTPServerParams::Ptr parameters;
        Poco::Net::HTTPRequestHandlerFactory::Ptr handlers;
        AdminExchangeMonitors& monitors;
    };

    Poco::Net::HTTPServerParams::Ptr makeParameters(std::uint16_t threads)
    {
        Poco::Net::HTTPServerParams::Ptr parameters(new Poco::Net::HTTPServerParams);
        parameters->setMaxThreads(threads);
        parameters->setMaxQueued(maxQueuedConnections);
        parameters->setKeepAlive(false);
        parameters->setTimeout(Poco::Timespan(readTimeout.count(), 0));
        return parameters;
    }

}

AdminListener::AdminListener(const Address& listen, std::uint16_t threads, ServeFunction serve)
    : listen(listen)
    , serve(std::move(serve))
    , monitors { ReceiveTimeoutMonitor(readTimeout), ReceiveTimeoutMonitor(writeTimeout) }
    , pool("admin", 1, threads)
{
}

AdminListener::~AdminListener() { this->stop(); }

std::optional<Failure> AdminListener::start()
{
    try {
        Poco::Net::ServerSocket socket;
        socket.bind(Poco::Net::SocketAddress(this->listen.host, this->listen.port), true);
        socket.listen();
        const auto parameters = makeParameters(static_cast<std::uint16_t>(this->pool.capacity()));
        Poco::Net::HTTPRequestHandlerFactory::Ptr factory(new HandlerFactory(this->serve, this->monitors));
        this->server = std::make_unique<Poco::Net::TCPServer>(
            new ConnectionFactory(parameters, factory, this->monitors), this->pool, socket, parameters);
        this->server->start();
        return std::nullopt;
    } catch (const Poco::Exception& error) {
        return Failure { ErrorCode::Internal, "the admin port cannot be bound: " + error.displayText(), Executed::No,
            Milliseconds(0) };
    }
}

void AdminListener::stop()
{
    if (!this->server)
        return;
    this->server->stop();
    this->monitors.requests.stop();
    this->monitors.responses.limitDeadlines(std::chrono::steady_clock::now() + writeTimeInStop);
    this->pool.joinAll();
    this->server.reset();
}

}
