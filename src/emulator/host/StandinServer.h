#pragma once

#include "emulator/host/FaultSwitch.h"
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

/** One HTTP exchange of a stand-in, already past the fault switch. */
struct Exchange {
    Poco::Net::HTTPServerRequest& request;
    Poco::Net::HTTPServerResponse& response;
    /** Path without the query. */
    std::string path;
    std::string query;
    std::string body;
    /** The peer's address and port. */
    std::string connection;
    /** True when the connection is to be cut in place of an answer. */
    bool loseAnswer { false };
};

/** Threads and header limits of a stand-in's HTTP server. */
struct ServerLimits {
    int threads { 256 };
    int queued { 256 };
};

/** An HTTP server for one stand-in. `POST /faults` reaches the fault switch whatever fault is on. */
class StandinServer {
public:
    using Handler = std::function<void(Exchange&)>;
    /** Takes the modes that the fault switch does not know itself. @return false for an unknown mode. */
    using FaultHook = std::function<bool(const Fault&)>;

    StandinServer(const Address& listen, ServerLimits limits, FaultSwitch& faults, Handler handler, FaultHook hook);
    ~StandinServer();

    void start();
    /** Lets waiting handlers go, closes the connections and joins the threads. */
    void stop();

    /** Called by POCO's threads. */
    void serve(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);

private:
    void serveFaults(Exchange& exchange);

    FaultSwitch& faults;
    Handler handler;
    FaultHook hook;
    Poco::ThreadPool pool;
    std::unique_ptr<Poco::Net::HTTPServer> server;
};

/** Sends a JSON answer, or cuts the connection when the answer is to be lost. */
void sendJson(Exchange& exchange, std::uint16_t status, const Poco::JSON::Object& body);

/** Sends an answer without a body, or cuts the connection when the answer is to be lost. */
void sendStatus(Exchange& exchange, std::uint16_t status);

/** Closes the connection without an answer. */
void cutConnection(Poco::Net::HTTPServerRequest& request);

/** @return the JSON object in a text, or nothing when there is none. */
Poco::JSON::Object::Ptr parseObject(const std::string& text);

/** @return the decoded value of a query parameter; empty when it is not there. */
std::string queryValue(const std::string& query, const std::string& name);

/** @return address and port of `ip:port`, or nothing when the text is none. */
std::optional<Address> parseAddress(const std::string& text);

/** Blocks SIGTERM and SIGINT for this thread and those it starts. Called first in main. */
void blockTermination();

/** Waits for SIGTERM or SIGINT. */
void waitForTermination();

}
