#include "adapters/engine/HttpConnection.h"
#include "adapters/platform/PlatformSession.h"
#include "platform/StoreClient.h"
#include "support/RawServer.h"
#include "support/ServiceCalls.h"

#include <doctest/doctest.h>

#include <thread>

using namespace teaselfold;

namespace {

const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/** Bytes after the first chunk of a body, none of which end it. */
const std::string oddEnds[] = { "noise\r\n", "\r\n0\r\n\r\n", "zz\r\n", "-1\r\n\r\n", "0x0\r\n\r\n", "0 0\r\n\r\n",
    std::string(2000, '0'), "0\n\n", "0\r\nodd trailer without an end", "ffffffffffffffffffff\r\n" };

/** Answers each request with the bytes and keeps the connection open. */
class OpenServer {
public:
    explicit OpenServer(std::string answer)
        : server([text = std::move(answer)](RawServer::Connection& connection) {
            while (const auto request = connection.readHead()) {
                connection.readBody(*request);
                connection.send(text);
            }
        })
    {
    }

    Address address() const { return this->server.address(); }

private:
    RawServer server;
};

}

// Guards against a body that is cut short by a malformed chunk and reaches the entry's caller as a whole one.
TEST_CASE("A service's answer whose chunks are malformed has an unknown outcome")
{
    for (const std::string& end : oddEnds) {
        CAPTURE(end);
        const OpenServer service(head + "2\r\nbo\r\n" + end);
        const auto event = callService(service.address());
        const auto* failed = std::get_if<ServiceCallFailed>(&event);
        REQUIRE(failed);
        CHECK(failed->run == Executed::Unknown);
    }
}

TEST_CASE("A service's answer with conflicting lengths has an unknown outcome")
{
    for (const std::string fields :
        { "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", "Content-Length: 2\r\nContent-Length: 4\r\n",
            "Content-Length: -2\r\n", "Content-Length: 2x\r\n", "Transfer-Encoding: gzip\r\n" }) {
        CAPTURE(fields);
        const OpenServer service("HTTP/1.1 200 OK\r\n" + fields + "\r\n2\r\nbo\r\n0\r\n\r\n");
        const auto event = callService(service.address());
        CHECK(std::holds_alternative<ServiceCallFailed>(event));
    }
}

TEST_CASE("A store's answer whose chunks are malformed is a fault")
{
    const std::string rows = R"({"rows":[],"hasMore":false,"rowVersion":7,"nowMs":1})";
    const std::string chunk = "34\r\n" + rows + "\r\n";
    REQUIRE(rows.size() == 0x34);
    for (const std::string& end : oddEnds) {
        CAPTURE(end);
        const OpenServer store(head + chunk + end);
        PlatformApi::StoreClient client(store.address(), Milliseconds(300));
        CHECK(std::holds_alternative<PlatformApi::StoreFault>(client.list("op", "")));
    }
    const OpenServer store(head + chunk + "0\r\nX-Trailer: t\r\n\r\n");
    PlatformApi::StoreClient client(store.address(), Milliseconds(5000));
    CHECK(std::holds_alternative<PlatformApi::StoreRows>(client.list("op", "")));
}

// Guards against the bytes behind an answer of the store that are taken for the answer to the next call.
TEST_CASE("Bytes behind a store's answer answer no other call")
{
    const std::string first = R"({"rows":[],"hasMore":false,"rowVersion":7,"nowMs":1})";
    const std::string foreign = R"({"rows":[],"hasMore":false,"rowVersion":666,"nowMs":1})";
    const auto answer = [](const std::string& body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    for (const Milliseconds delay : { Milliseconds(0), Milliseconds(30) }) {
        CAPTURE(delay.count());
        RawServer store([&](RawServer::Connection& connection) {
            while (connection.readHead()) {
                connection.send(delay > Milliseconds(0) ? answer(first) : answer(first) + answer(foreign));
                if (delay == Milliseconds(0))
                    continue;
                connection.wait(delay);
                connection.send(answer(foreign));
            }
        });
        PlatformApi::StoreClient client(store.address(), Milliseconds(5000));
        for (int call = 0; call < 3; ++call) {
            const auto result = client.list("op", "");
            const auto* rows = std::get_if<PlatformApi::StoreRows>(&result);
            CHECK((rows && rows->version == StoreVersion(7)));
            std::this_thread::sleep_for(delay * 4);
        }
    }
}

// The same for the platform's table, also behind an answer without a body.
TEST_CASE("Bytes behind an answer of the platform's table answer no other call")
{
    const OpenServer platform("HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 500 Foreign\r\nContent-Length: 0\r\n\r\n");
    Internal::PlatformSession session(platform.address(), Milliseconds(5000));
    for (int call = 0; call < 3; ++call)
        CHECK(std::holds_alternative<WriteDone>(session.execute(TableErase { "key", 1 })));
}
