#include "emulator/host/EmulatorHttpServer.h"

#include "emulator/host/LogLine.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <charconv>
#include <csignal>
#include <sstream>

namespace teaselfold {

namespace {

    constexpr int minimumThreads = 4;
    constexpr int listenBacklog = 512;
    constexpr double defaultSlowdown = 5;
    constexpr std::string_view faultsPath = "/faults";

    class RequestHandler : public Poco::Net::HTTPRequestHandler {
    public:
        explicit RequestHandler(EmulatorHttpServer& server)
            : server(server)
        {
        }

        void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
        {
            this->server.serve(request, response);
        }

    private:
        EmulatorHttpServer& server;
    };

    class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
    public:
        explicit HandlerFactory(EmulatorHttpServer& server)
            : server(server)
        {
        }

        Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override
        {
            // POCO takes ownership.
            return new RequestHandler(this->server);
        }

    private:
        EmulatorHttpServer& server;
    };

    sigset_t terminationSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        return signals;
    }

}

EmulatorHttpServer::EmulatorHttpServer(
    const Address& listen, ServerLimits limits, FaultInjector& faults, Handler handler, FaultHook hook)
    : faults(faults)
    , handler(std::move(handler))
    , hook(std::move(hook))
    , pool(minimumThreads, limits.maxThreads)
{
    Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(limits.maxThreads);
    parameters->setMaxQueued(limits.maxQueued);
    parameters->setKeepAlive(true);
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress(listen.host, listen.port), listenBacklog);
    Poco::Net::HTTPRequestHandlerFactory::Ptr factory = new HandlerFactory(*this);
    this->server = std::make_unique<Poco::Net::HTTPServer>(factory, this->pool, socket, parameters);
}

EmulatorHttpServer::~EmulatorHttpServer() { this->stop(); }

void EmulatorHttpServer::start() { this->server->start(); }

void EmulatorHttpServer::stop()
{
    this->faults.stop();
    this->server->stopAll(true);
    this->pool.joinAll();
}

void EmulatorHttpServer::serve(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    try {
        const Poco::URI uri(request.getURI());
        HttpExchange exchange { request, response, uri.getPath(), uri.getRawQuery(), {},
            request.clientAddress().toString(), false };
        Poco::StreamCopier::copyToString(request.stream(), exchange.body);
        if (exchange.path == faultsPath)
            return this->serveFaults(exchange);
        const FaultAction action = this->faults.applyToRequest(exchange.connection);
        if (action == FaultAction::DropConnection)
            return dropConnection(request);
        exchange.dropResponse = action == FaultAction::DropConnectionAfterWork;
        this->handler(exchange);
    } catch (const Poco::Exception& error) {
        logLine(LogEvent { "exchange_failed", { { "uri", request.getURI() }, { "error", error.displayText() } } });
        dropConnection(request);
    }
}

void EmulatorHttpServer::serveFaults(HttpExchange& exchange)
{
    const auto body = parseObject(exchange.body);
    if (!body)
        return sendStatus(exchange, 400);
    const Fault fault { body->optValue<std::string>("mode", "none"),
        Milliseconds(body->optValue<std::int64_t>("delay_ms", 0)), body->optValue<double>("factor", defaultSlowdown) };
    if (!this->hook(fault))
        return sendStatus(exchange, 400);
    this->faults.set(fault);
    sendStatus(exchange, 200);
}

void sendJson(HttpExchange& exchange, std::uint16_t status, const Poco::JSON::Object& body)
{
    if (exchange.dropResponse)
        return dropConnection(exchange.request);
    std::ostringstream text;
    body.stringify(text);
    const std::string content = text.str();
    exchange.response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    exchange.response.setContentType("application/json");
    exchange.response.sendBuffer(content.data(), content.size());
}

void sendStatus(HttpExchange& exchange, std::uint16_t status)
{
    if (exchange.dropResponse)
        return dropConnection(exchange.request);
    exchange.response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    exchange.response.setContentLength(0);
    exchange.response.send();
}

void dropConnection(Poco::Net::HTTPServerRequest& request)
{
    try {
        static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().shutdown();
    } catch (const Poco::Exception&) {
        // The peer has closed the connection already.
        return;
    }
}

Poco::JSON::Object::Ptr parseObject(const std::string& text)
{
    try {
        Poco::JSON::Parser parser;
        return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
    } catch (const Poco::Exception&) {
        return {};
    }
}

std::string queryValue(const std::string& query, const std::string& name)
{
    Poco::URI uri;
    uri.setRawQuery(query);
    for (const auto& [key, value] : uri.getQueryParameters()) {
        if (key == name)
            return value;
    }
    return {};
}

std::optional<Address> parseAddress(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    Address address { text.substr(0, colon), 0 };
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, address.port);
    if (parsed.ec != std::errc {} || parsed.ptr != end)
        return std::nullopt;
    return address;
}

void blockTerminationSignals()
{
    const sigset_t signals = terminationSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void waitForTerminationSignal()
{
    const sigset_t signals = terminationSignals();
    int received = 0;
    sigwait(&signals, &received);
    logLine(LogEvent { "stopping", { { "signal", std::to_string(received) } } });
}

}
