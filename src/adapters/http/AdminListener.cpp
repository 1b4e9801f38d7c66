#include "adapters/http/AdminListener.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/URI.h>

#include <array>

namespace teaselfold::Internal {

namespace {

    constexpr std::size_t maxBodyBytes = 1024UL * 1024UL;
    constexpr int maxQueuedConnections = 64;
    constexpr Seconds readTimeout(5);

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

    /** Serves the request, or rejects it if it is malformed or too large. */
    AdminResponse serveOrReject(Poco::Net::HTTPServerRequest& request, const AdminListener::ServeFunction& serve)
    {
        try {
            AdminRequest adminRequest = readRequestHead(request);
            std::optional<std::string> body = readBody(request.stream());
            if (!body)
                return makeErrorResponse(ErrorCode::TooLarge, "the body is over 1 MiB");
            adminRequest.body = std::move(*body);
            return serve(adminRequest);
        } catch (const Poco::Exception&) {
            return makeErrorResponse(ErrorCode::BadRequest, "the request cannot be read");
        }
    }

    class Handler : public Poco::Net::HTTPRequestHandler {
    public:
        explicit Handler(const AdminListener::ServeFunction& serve)
            : serve(serve)
        {
        }

        void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
        {
            const AdminResponse adminResponse = serveOrReject(request, this->serve);
            response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(adminResponse.status));
            response.setContentType(adminResponse.contentType);
            response.setKeepAlive(false);
            if (adminResponse.retryAfter > Milliseconds(0))
                response.set(
                    "Retry-After", std::to_string(std::chrono::ceil<Seconds>(adminResponse.retryAfter).count()));
            response.sendBuffer(adminResponse.body.data(), adminResponse.body.size());
        }

    private:
        const AdminListener::ServeFunction& serve;
    };

    class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
    public:
        explicit HandlerFactory(const AdminListener::ServeFunction& serve)
            : serve(serve)
        {
        }

        Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override
        {
            return new Handler(this->serve);
        }

    private:
        const AdminListener::ServeFunction& serve;
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
        Poco::Net::HTTPRequestHandlerFactory::Ptr factory(new HandlerFactory(this->serve));
        this->server = std::make_unique<Poco::Net::HTTPServer>(factory, this->pool, socket, parameters);
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
    this->pool.joinAll();
    this->server.reset();
}

}
