#pragma once

#include "emulator/host/FaultInjector.h"
#include "ports/Fleet.h"

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace teaselfold {

/** One HTTP request with its response, to which the FaultInjector has been applied. */
struct HttpExchange {
    Poco::Net::HTTPServerRequest& request;
    Poco::Net::HTTPServerResponse& response;
    /** The URI's path without the query. */
    std::string path;
    std::string query;
    std::string body;
    /** The peer's address and port. */
    std::string connection;
    /** True if the connection is to be closed instead of sending a response. */
    bool dropResponse { false };
};

/** Limits on the threads and queued connections of an EmulatorHttpServer. */
struct ServerLimits {
    int maxThreads { 256 };
    int maxQueued { 256 };
};

/** HTTP server of an emulated engine, platform or service. `POST /faults` is served during any fault. */
class EmulatorHttpServer {
public:
    using Handler = std::function<void(HttpExchange&)>;
    /** Applies the fault modes specific to the emulated server. @return false if the mode is not supported. */
    using FaultHook = std::function<bool(const Fault&)>;

    EmulatorHttpServer(
        const Address& listen, ServerLimits limits, FaultInjector& faults, Handler handler, FaultHook hook);
    ~EmulatorHttpServer();

    void start();
    /** Releases the blocked handlers, closes the connections and joins the threads. */
    void stop();

    /** Serves one request. Called on the threads of the POCO pool. */
    void serve(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);

private:
    void serveFaults(HttpExchange& exchange);

    FaultInjector& faults;
    Handler handler;
    FaultHook hook;
    Poco::ThreadPool pool;
    std::unique_ptr<Poco::Net::HTTPServer> server;
};

/** Sends a JSON response, or closes the connection if the response is to be dropped. */
void sendJson(HttpExchange& exchange, std::uint16_t status, const Poco::JSON::Object& body);

/** Sends a response without a body, or closes the connection if the response is to be dropped. */
void sendStatus(HttpExchange& exchange, std::uint16_t status);

/** Closes the connection without a response. */
void dropConnection(Poco::Net::HTTPServerRequest& request);

/** @return the JSON object parsed from a text, or null if the text is not a JSON object. */
Poco::JSON::Object::Ptr parseObject(const std::string& text);

/** @return the decoded value of a query parameter; empty if it is missing. */
std::string queryValue(const std::string& query, const std::string& name);

/** @return the address parsed from `ip:port`, or nothing if the text is malformed. */
std::optional<Address> parseAddress(const std::string& text);

/** Blocks SIGTERM and SIGINT for this thread and the threads it starts, and ignores SIGPIPE. Called first in main. */
void blockTerminationSignals();

/** Blocks until SIGTERM or SIGINT arrives. */
void waitForTerminationSignal();

}
