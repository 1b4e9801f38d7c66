#include "adapters/platform/PlatformSession.h"
#include "platform/StoreClient.h"
#include "support/EngineCalls.h"
#include "support/RawServer.h"
#include "support/ServiceCalls.h"
#include "support/TrafficHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

/** Answers each request with the beginning of a response and closes. */
class CuttingServer {
public:
    explicit CuttingServer(std::string beginning)
        : server([text = std::move(beginning)](RawServer::Connection& connection) {
            const auto head = connection.readHead();
            if (head && connection.readBody(*head))
                connection.send(text);
        })
    {
    }

    Address address() const { return this->server.address(); }

private:
    RawServer server;
};

/** Calls a function with each proper beginning of a response. */
template <typename Function> void forEachBeginning(const std::string& response, const Function& function)
{
    for (std::size_t size = 0; size < response.size(); ++size) {
        const std::string beginning = response.substr(0, size);
        CAPTURE(beginning);
        function(beginning);
    }
}

const std::string withLength = "HTTP/1.1 200 OK\r\nX-Note: n\r\nContent-Length: 4\r\n\r\nbody";
const std::string inChunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n";
const std::string untilClose = "HTTP/1.1 200 OK\r\nX-Teaselfold-Server-Signature: s\r\n\r\n";

}

/** Answers each request with the next beginning of a response and closes, after a whole answer if that is asked for. */
class CuttingEndpoint {
public:
    CuttingEndpoint(std::string response, bool answersOneBefore, std::string foreignResponse)
        : response(std::move(response))
        , answersOneBefore(answersOneBefore)
        , foreign(std::move(foreignResponse))
        , server([this](RawServer::Connection& connection) { this->serve(connection); })
    {
    }

    Address address() const { return this->server.address(); }

private:
    void serve(RawServer::Connection& connection)
    {
        auto head = connection.readHead();
        if (head && this->answersOneBefore) {
            connection.send("HTTP/1.1 200 OK\r\nX-Teaselfold-Attempt-Id: " + headField(*head, "X-Teaselfold-Attempt-Id")
                + "\r\nX-Teaselfold-Server-Signature: s\r\nContent-Length: 2\r\n\r\nok");
            head = connection.readHead();
        }
        if (head)
            connection.send(this->foreign + this->response.substr(0, this->nextSize++));
    }

    std::string response;
    bool answersOneBefore;
    std::string foreign;
    std::atomic<std::size_t> nextSize { 0 };
    RawServer server;
};

/** Sends a request of its own kind, so that earlier ones that broke do not count against it. */
std::string answerTo(Poco::Net::StreamSocket& caller, std::size_t number, const std::string& id)
{
    TrafficHarness::sendRequest(caller, "/write/" + std::to_string(number), id);
    return TrafficHarness::readResponse(caller);
}

// Guards against an endpoint that closes within its head: its caller must not get a success with a short body.
TEST_CASE("A head that ends early is no answer to a gateway's caller")
{
    const std::string signature = "X-Teaselfold-Attempt-Id: a1\r\nX-Teaselfold-Server-Signature: s\r\n";
    for (const std::string& response : { "HTTP/1.1 200 OK\r\n" + signature + "Content-Length: 4\r\n\r\nbody",
             "HTTP/1.1 200 OK\r\n" + signature + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
             "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK\r\n" + signature + "\r\n" }) {
        const CuttingEndpoint endpoint(response, false, "");
        const TrafficHarness harness(endpoint.address());
        auto caller = harness.connect();
        for (std::size_t size = 0; size < response.size(); ++size) {
            CAPTURE(response.substr(0, size));
            CHECK(answerTo(caller, size, "a1").starts_with("HTTP/1.1 502"));
        }
    }
}

TEST_CASE("A head that ends early on a kept connection is no answer, also after a foreign response")
{
    const std::string foreign = "HTTP/1.1 200 OK\r\nX-Teaselfold-Attempt-Id: other\r\nContent-Length: 2\r\n\r\nno";
    const std::string own
        = "HTTP/1.1 200 OK\r\nX-Teaselfold-Attempt-Id: cut\r\nX-Teaselfold-Server-Signature: s\r\n\r\n";
    for (const std::string& before : { std::string(), foreign }) {
        const CuttingEndpoint endpoint(own, true, before);
        const TrafficHarness harness(endpoint.address());
        auto caller = harness.connect();
        for (std::size_t size = 0; size < own.size(); ++size) {
            CAPTURE(own.substr(0, size));
            REQUIRE(answerTo(caller, size, "whole").ends_with("\r\n\r\nok"));
            CHECK(answerTo(caller, size, "cut").starts_with("HTTP/1.1 502"));
        }
    }
}

// Guards against a service's answer that is relayed as whole though its head or its chunks ended early.
TEST_CASE("A service's answer that ends early has an unknown outcome")
{
    for (const std::string& response : { withLength, inChunks }) {
        forEachBeginning(response, [](const std::string& beginning) {
            const CuttingServer service(beginning);
            const auto event = callService(service.address());
            const auto* failed = std::get_if<ServiceCallFailed>(&event);
            CHECK(failed);
            CHECK((!failed || failed->run == Executed::Unknown));
        });
        const CuttingServer service(response);
        const auto event = callService(service.address());
        const auto* answer = std::get_if<ServiceResponded>(&event);
        REQUIRE(answer);
        CHECK(answer->body == "body");
    }
    // The end of the connection is the end of an answer whose whole head declares no length.
    forEachBeginning(untilClose, [](const std::string& beginning) {
        const CuttingServer service(beginning);
        CHECK(std::holds_alternative<ServiceCallFailed>(callService(service.address())));
    });
    const CuttingServer service(untilClose + "body");
    CHECK(std::holds_alternative<ServiceResponded>(callService(service.address())));
}

// Guards against a refusal ("not run") that is read from the beginning of another status.
TEST_CASE("A start whose answer ends within its head is lost, not refused")
{
    for (const std::string& response : { std::string("HTTP/1.1 503 Full\r\nX-Note: n\r\n\r\n"), withLength }) {
        for (std::size_t size = 0; size < response.find("\r\n\r\n") + 4; ++size) {
            const std::string beginning = response.substr(0, size);
            CAPTURE(beginning);
            RawServer engine([&](RawServer::Connection& connection) {
                const auto head = connection.readHead();
                if (head && head->starts_with("POST /v1/completions") && connection.readBody(*head))
                    connection.send(beginning);
            });
            CHECK(std::holds_alternative<EngineStreamLost>(startAtEngine(engine.address())));
        }
    }
}

// Guards against a write that counts as done on the word of half a status line.
TEST_CASE("An answer of the store that ends early is a fault")
{
    const std::string response = "HTTP/1.1 200 OK\r\nX-Note: n\r\nContent-Length: 2\r\n\r\n{}";
    forEachBeginning(response, [](const std::string& beginning) {
        const CuttingServer store(beginning);
        PlatformApi::StoreClient client(store.address(), Milliseconds(5000));
        CHECK(client.write("table", { "key", "value", false }));
    });
    const CuttingServer store(response);
    PlatformApi::StoreClient client(store.address(), Milliseconds(5000));
    CHECK_FALSE(client.write("table", { "key", "value", false }));
}

TEST_CASE("An answer of the platform's table that ends early leaves the outcome of a write unknown")
{
    const std::string response = "HTTP/1.1 204 No Content\r\nX-Note: n\r\n\r\n";
    forEachBeginning(response, [](const std::string& beginning) {
        const CuttingServer platform(beginning);
        Internal::PlatformSession session(platform.address(), Milliseconds(5000));
        const auto result = session.execute(TableErase { "key", 1 });
        const auto* unavailable = std::get_if<PlatformUnavailable>(&result);
        CHECK(unavailable);
        CHECK((!unavailable || unavailable->sent));
    });
    const CuttingServer platform(response);
    Internal::PlatformSession session(platform.address(), Milliseconds(5000));
    CHECK(std::holds_alternative<WriteDone>(session.execute(TableErase { "key", 1 })));
}
