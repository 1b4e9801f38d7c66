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

    /** Messages that may wait for a stream's connection; above the router's window. */
    constexpr std::size_t streamCapacity = 1024;
    constexpr std::size_t singleCapacity = 2;
    constexpr std::string_view servicesPrefix = "/services/";

    /** Serves one request; a caller whose connection breaks is reported to the router by the exchange. */
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
                // The connection broke or took no bytes in time; the exchange tells the router.
            }
        }

    protected:
        virtual void serve(CallerExchange& exchange) = 0;

        CallerContext& context;
    };

    /** Who calls, and what was sent. */
    struct CallerInput {
        CallerIdentity identity;
        std::string body;
    };

    /** Reads caller and body. @return nothing when either was refused; the refusal is sent then. */
    std::optional<CallerInput> readInput(CallerExchange& exchange)
    {
        const auto who = exchange.identify();
        if (const auto* failure = std::get_if<Failure>(&who)) {
            exchange.sendFailure(*failure);
            return std::nullopt;
        }
        auto read = exchange.readBody();
        if (const auto* failure = std::get_if<Failure>(&read)) {
            exchange.sendFailure(*failure);
            return std::nullopt;
        }
        return CallerInput { std::get<CallerIdentity>(who), std::get<std::string>(std::move(read)) };
    }

    class CompletionHandler final : public CallerHandler {
    public:
        using CallerHandler::CallerHandler;

    private:
        void serve(CallerExchange& exchange) override
        {
            const auto input = readInput(exchange);
            if (!input)
                return;
            auto decoded = decodeCompletionRequest(input->body);
            if (const auto* failure = std::get_if<Failure>(&decoded)) {
                exchange.sendFailure(*failure);
                return;
            }
            this->run(exchange, input->identity, std::get<CompletionRequest>(std::move(decoded)));
        }

        static void run(CallerExchange& exchange, const CallerIdentity& identity, CompletionRequest request)
        {
            request.work.team = identity.team;
            request.work.fingerprint = fingerprintOf(request.work);
            request.budget = identity.budget;
            request.request = exchange.open(request.stream ? streamCapacity : singleCapacity);
            const bool stream = request.stream;
            const ModelId model = request.work.model;
            const RequestId id = request.request;
            if (!exchange.post(std::move(request)))
                exchange.sendFailure(routerBusy());
            else if (stream)
                StreamWriter(exchange).run();
            else
                sendWhole(exchange, id, model);
        }

        static void sendWhole(CallerExchange& exchange, RequestId id, const ModelId& model)
        {
            const auto message = exchange.next();
            if (!message)
                return;
            exchange.close();
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
            const auto input = readInput(exchange);
            if (!input)
                return;
            const auto position = decodeEventId(exchange.request.get("Last-Event-ID", ""));
            if (!position) {
                exchange.sendFailure({ ErrorCode::BadRequest, "the header Last-Event-ID is malformed", Executed::No });
                return;
            }
            StreamResumeRequest request { exchange.open(streamCapacity), input->identity.team, position->token,
                position->nextIndex, input->identity.budget };
            if (exchange.post(std::move(request)))
                StreamWriter(exchange).run();
            else
                exchange.sendFailure(routerBusy());
        }
    };

    /** Splits `/services/{name}/...` into the service and the path it sees. */
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
            auto input = readInput(exchange);
            if (!input)
                return;
            ServiceCallRequest call;
            call.work.body = std::move(input->body);
            if (!splitServicePath(exchange.request.getURI(), call.work)) {
                exchange.sendFailure({ ErrorCode::NotFound, "the path names no service", Executed::No });
                return;
            }
            call.budget = input->identity.budget;
            call.work.team = input->identity.team;
            call.work.method = exchange.request.getMethod();
            call.work.headers = forwardedHeaders(exchange.request);
            call.work.key = IdempotencyKey(exchange.request.get("Idempotency-Key", ""));
            call.work.fingerprint = fingerprintOf(call.work);
            call.request = exchange.open(singleCapacity);
            if (exchange.post(std::move(call)))
                sendAnswer(exchange);
            else
                exchange.sendFailure(routerBusy());
        }

        static void sendAnswer(CallerExchange& exchange)
        {
            const auto message = exchange.next();
            if (!message)
                return;
            exchange.close();
            if (const auto* failure = std::get_if<CallerFailure>(&*message))
                exchange.sendFailure(failure->failure);
            else if (const auto* answer = std::get_if<CallerServiceResponse>(&*message))
                sendServiceAnswer(exchange.response, *answer);
        }
    };

    class ProbeHandler final : public CallerHandler {
    public:
        using CallerHandler::CallerHandler;

    private:
        void serve(CallerExchange& exchange) override
        {
            const bool readiness = exchange.request.getURI() == "/readyz";
            if (readiness && !this->context.isReady())
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

    template <typename Handler> HTTPRequestHandler* make(CallerContext& context) { return new Handler(context); }

    struct Route {
        /** Empty for any method. */
        std::string_view method;
        std::string_view path;
        /** True when the path may go on. */
        bool prefix;
        HTTPRequestHandler* (*create)(CallerContext&);
    };

    constexpr std::array routes {
        Route { "POST", "/v1/completions", false, &make<CompletionHandler> },
        Route { "GET", "/v1/completions/stream", false, &make<StreamResumeHandler> },
        Route { "", servicesPrefix, true, &make<ServiceCallHandler> },
        Route { "GET", "/healthz", false, &make<ProbeHandler> },
        Route { "GET", "/readyz", false, &make<ProbeHandler> },
    };

    bool matches(const Route& route, const HTTPServerRequest& request)
    {
        const std::string& uri = request.getURI();
        if (!route.method.empty() && route.method != request.getMethod())
            return false;
        return route.prefix ? uri.starts_with(route.path) : uri.substr(0, uri.find('?')) == route.path;
    }

}

HTTPRequestHandler* CallerHandlerFactory::createRequestHandler(const HTTPServerRequest& request)
{
    const auto route
        = std::ranges::find_if(routes, [&](const Route& candidate) { return matches(candidate, request); });
    return route == routes.end() ? make<UnknownPathHandler>(this->context) : route->create(this->context);
}

}
