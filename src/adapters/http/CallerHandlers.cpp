#include "adapters/http/CallerHandlers.h"

#include "adapters/http/CallerExchange.h"
#include "adapters/http/CompletionJson.h"
#include "adapters/http/ServerSentEvents.h"
#include "adapters/http/ServiceHeaders.h"
#include "adapters/http/StreamWriter.h"
#include "core/entry/RequestFingerprint.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>

namespace teaselfold {

namespace {

    using Poco::Net::HTTPRequestHandler;
    using Poco::Net::HTTPServerRequest;
    using Poco::Net::HTTPServerResponse;

    /** Exceeds the flow-control window of a stream, so that a slow caller does not overflow its ring. */
    constexpr std::size_t streamRingCapacity = 1024;
    constexpr std::size_t singleMessageRingCapacity = 2;
    constexpr std::string_view servicesPrefix = "/services/";

    /** Serves one request. If the connection fails, CallerExchange reports the disconnect to the router. */
    class CallerHandler : public HTTPRequestHandler {
    public:
        explicit CallerHandler(CallerContext& context)
            : context(context)
        {
        }

        void handleRequest(HTTPServerRequest& request, HTTPServerResponse& response) final
        {
            response.setKeepAlive(false);
            CallerExchange exchange(this->context, request, response);
            try {
                this->serve(exchange);
            } catch (const Poco::Exception&) {
                // The connection failed or a write timed out; the destructor of the exchange reports it to the router.
            }
        }

    protected:
        virtual void serve(CallerExchange& exchange) = 0;

        CallerContext& context;
    };

    /** An authenticated caller and the body of its request. */
    struct AuthenticatedRequest {
        AuthenticatedCaller caller;
        std::string body;
    };

    /** Authenticates the caller and reads the body, or sends the failure. @return nothing if a failure was sent. */
    std::optional<AuthenticatedRequest> readRequest(CallerExchange& exchange)
    {
        const auto caller = exchange.authenticate();
        if (const auto* failure = std::get_if<Failure>(&caller)) {
            exchange.sendFailure(*failure);
            return std::nullopt;
        }
        auto body = exchange.readBody();
        if (const auto* failure = std::get_if<Failure>(&body)) {
            exchange.sendFailure(*failure);
            return std::nullopt;
        }
        return AuthenticatedRequest { std::get<AuthenticatedCaller>(caller), std::get<std::string>(std::move(body)) };
    }

    class CompletionHandler final : public CallerHandler {
    public:
        using CallerHandler::CallerHandler;

    private:
        void serve(CallerExchange& exchange) override
        {
            const auto received = readRequest(exchange);
            if (!received)
                return;
            auto decoded = decodeCompletionRequest(received->body);
            if (const auto* failure = std::get_if<Failure>(&decoded)) {
                exchange.sendFailure(*failure);
                return;
            }
            this->run(exchange, received->caller, std::get<CompletionRequest>(std::move(decoded)));
        }

        static void run(CallerExchange& exchange, const AuthenticatedCaller& caller, CompletionRequest request)
        {
            request.work.team = caller.team;
            request.work.fingerprint = fingerprintOf(request.work);
            request.budget = caller.budget;
            request.request = exchange.openRing(request.stream ? streamRingCapacity : singleMessageRingCapacity);
            const bool stream = request.stream;
            const ModelId model = request.work.model;
            const RequestId id = request.request;
            if (!exchange.submit(std::move(request)))
                exchange.sendFailure(makeQueueFullFailure());
            else if (stream)
                StreamWriter(exchange).run();
            else
                sendCompletion(exchange, id, model);
        }

        static void sendCompletion(CallerExchange& exchange, RequestId id, const ModelId& model)
        {
            const auto message = exchange.waitForMessage();
            if (!message)
                return;
            exchange.markComplete();
            if (const auto* failure = std::get_if<CallerFailure>(&*message))
                exchange.sendFailure(failure->failure);
            else if (const auto* completion = std::get_if<CallerCompletion>(&*message))
                exchange.sendJson(encodeCompletion(id, model, *completion));
        }
    };

    class StreamResumeHandler final : public CallerHandler {
    public:
        using CallerHandler::CallerHandler;

    private:
        void serve(CallerExchange& exchange) override
        {
            const auto received = readRequest(exchange);
            if (!received)
                return;
            const auto position = decodeEventId(exchange.request.get("Last-Event-ID", ""));
            if (!position) {
                exchange.sendFailure({ ErrorCode::BadRequest, "the header Last-Event-ID is malformed", Executed::No });
                return;
            }
            StreamResumeRequest request { exchange.openRing(streamRingCapacity), received->caller.team, position->token,
                position->nextIndex, received->caller.budget };
            if (exchange.submit(std::move(request)))
                StreamWriter(exchange).run();
            else
                exchange.sendFailure(makeQueueFullFailure());
        }
    };

    /** Splits `/services/{name}/...` into the service and the path to forward. @return false if the name is empty. */
    bool splitServicePath(const std::string& uri, ServiceWork& work)
    {
        const std::string rest = uri.substr(servicesPrefix.size());
        const auto end = rest.find_first_of("/?");
        const std::string name = rest.substr(0, end);
        work.service = ServiceId(name);
        work.path = end != std::string::npos && rest[end] == '/' ? rest.substr(end) : "/";
        if (end != std::string::npos && rest[end] == '?')
            work.path += rest.substr(end);
        return !name.empty();
    }

    class ServiceCallHandler final : public CallerHandler {
    public:
        using CallerHandler::CallerHandler;

    private:
        void serve(CallerExchange& exchange) override
        {
            auto received = readRequest(exchange);
            if (!received)
                return;
            auto headers = forwardedHeaders(exchange.request);
            if (const auto* failure = std::get_if<Failure>(&headers)) {
                exchange.sendFailure(*failure);
                return;
            }
            ServiceCallRequest call;
            call.work.body = std::move(received->body);
            if (!splitServicePath(exchange.request.getURI(), call.work)) {
                exchange.sendFailure({ ErrorCode::NotFound, "the path names no service", Executed::No });
                return;
            }
            call.budget = received->caller.budget;
            call.work.team = received->caller.team;
            call.work.method = exchange.request.getMethod();
            call.work.headers = std::get<std::vector<Header>>(std::move(headers));
            call.work.key = IdempotencyKey(exchange.request.get("Idempotency-Key", ""));
            call.work.fingerprint = fingerprintOf(call.work);
            call.request = exchange.openRing(singleMessageRingCapacity);
            if (exchange.submit(std::move(call)))
                sendServiceCallResponse(exchange);
            else
                exchange.sendFailure(makeQueueFullFailure());
        }

        static void sendServiceCallResponse(CallerExchange& exchange)
        {
            const auto message = exchange.waitForMessage();
            if (!message)
                return;
            exchange.markComplete();
            if (const auto* failure = std::get_if<CallerFailure>(&*message))
                exchange.sendFailure(failure->failure);
            else if (const auto* response = std::get_if<CallerServiceResponse>(&*message))
                sendServiceResponse(exchange.response, *response);
        }
    };

    class ProbeHandler final : public CallerHandler {
    public:
        using CallerHandler::CallerHandler;

    private:
        void serve(CallerExchange& exchange) override
        {
            const bool isReadinessProbe = exchange.request.getURI() == "/readyz";
            if (isReadinessProbe && !this->context.isReady())
                exchange.sendFailure({ ErrorCode::NotReady, "no new work is taken", Executed::No, Seconds(1) });
            else
                exchange.sendJson("{\"status\":\"ok\"}");
        }
    };

    class UnknownPathHandler final : public CallerHandler {
    public:
        using CallerHandler::CallerHandler;

    private:
        void serve(CallerExchange& exchange) override
        {
            exchange.sendFailure({ ErrorCode::NotFound, "no such method and path", Executed::No });
        }
    };

    template <typename Handler> HTTPRequestHandler* makeHandler(CallerContext& context) { return new Handler(context); }

    struct Route {
        /** Matches any method if empty. */
        std::string_view method;
        std::string_view path;
        /** Whether `path` is a prefix of the accepted paths. */
        bool isPrefix;
        HTTPRequestHandler* (*create)(CallerContext&);
    };

    constexpr std::array routes {
        Route { "POST", "/v1/completions", false, &makeHandler<CompletionHandler> },
        Route { "GET", "/v1/completions/stream", false, &makeHandler<StreamResumeHandler> },
        Route { "", servicesPrefix, true, &makeHandler<ServiceCallHandler> },
        Route { "GET", "/healthz", false, &makeHandler<ProbeHandler> },
        Route { "GET", "/readyz", false, &makeHandler<ProbeHandler> },
    };

    bool matches(const Route& route, const HTTPServerRequest& request)
    {
        const std::string& uri = request.getURI();
        if (!route.method.empty() && route.method != request.getMethod())
            return false;
        return route.isPrefix ? uri.starts_with(route.path) : uri.substr(0, uri.find('?')) == route.path;
    }

}

HTTPRequestHandler* CallerHandlerFactory::createRequestHandler(const HTTPServerRequest& request)
{
    const auto route
        = std::ranges::find_if(routes, [&](const Route& candidate) { return matches(candidate, request); });
    return route == routes.end() ? makeHandler<UnknownPathHandler>(this->context) : route->create(this->context);
}

}
