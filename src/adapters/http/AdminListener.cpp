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

    constexpr std::size_t maximumBody = 1024UL * 1024UL;
    constexpr int maximumQueued = 64;
    constexpr Seconds readTimeout(5);

    /** @return the body, or nothing when it is too long. */
    std::optional<std::string> readBody(std::istream& stream)
    {
        std::string body;
        std::array<char, 8192> part {};
        while (stream.read(part.data(), part.size()) || stream.gcount() > 0) {
            body.append(part.data(), static_cast<std::size_t>(stream.gcount()));
            if (body.size() > maximumBody)
                return std::nullopt;
        }
        return body;
    }

    AdminRequest describe(const Poco::Net::HTTPServerRequest& request)
    {
        AdminRequest result;
        const Poco::URI uri(request.getURI());
        result.method = request.getMethod();
        uri.getPathSegments(result.path);
        for (const auto& [name, value] : uri.getQueryParameters())
            result.query.insert_or_assign(name, value);
        result.authorization = request.get("Authorization", "");
        return result;
    }

    AdminResponse serveSafely(Poco::Net::HTTPServerRequest& request, const AdminListener::Serve& serve)
    {
        try {
            AdminRequest whole = describe(request);
            std::optional<std::string> body = readBody(request.stream());
            if (!body)
                return refuse(ErrorCode::TooLarge, "the body is over 1 MiB");
            whole.body = std::move(*body);
            return serve(whole);
        } catch (const Poco::Exception&) {
            return refuse(ErrorCode::BadRequest, "the request cannot be read");
        }
    }

    class Handler : public Poco::Net::HTTPRequestHandler {
    public:
        explicit Handler(const AdminListener::Serve& serve)
            : serve(serve)
        {
        }

        void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
        {
            const AdminResponse answer = serveSafely(request, this->serve);
            response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
            response.setContentType(answer.contentType);
            response.setKeepAlive(false);
            if (answer.retryAfter > Milliseconds(0))
                response.set("Retry-After", std::to_string(std::chrono::ceil<Seconds>(answer.retryAfter).count()));
            response.sendBuffer(answer.body.data(), answer.body.size());
        }

    private:
        const AdminListener::Serve& serve;
    };

    class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
    public:
        explicit HandlerFactory(const AdminListener::Serve& serve)
            : serve(serve)
        {
        }

        Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override
        {
            return new Handler(this->serve);
        }

    private:
        const AdminListener::Serve& serve;
    };

    Poco::Net::HTTPServerParams::Ptr makeParameters(std::uint16_t threads)
    {
        Poco::Net::HTTPServerParams::Ptr parameters(new Poco::Net::HTTPServerParams);
        parameters->setMaxThreads(threads);
        parameters->setMaxQueued(maximumQueued);
        parameters->setKeepAlive(false);
        parameters->setTimeout(Poco::Timespan(readTimeout.count(), 0));
        return parameters;
    }

}

AdminListener::AdminListener(const Address& listen, std::uint16_t threads, Serve serve)
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
