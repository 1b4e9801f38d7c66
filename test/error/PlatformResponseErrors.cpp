#include "adapters/platform/PlatformClient.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

/** A server that answers one request per connection with the next scripted response and closes the connection. */
class ScriptedPlatform {
public:
    explicit ScriptedPlatform(std::vector<std::string> responses)
        : socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , responses(std::move(responses))
        , thread([this] { this->run(); })
    {
    }
    ~ScriptedPlatform() { this->thread.join(); }

    Address address() const { return { "127.0.0.1", this->socket.address().port() }; }

    std::string lastRequest;
    Ring<std::size_t> closedConnections { 100 };

private:
    void run()
    {
        for (const std::string& response : this->responses) {
            auto connection = this->socket.acceptConnection();
            std::string bytes(4096, '\0');
            const int count = connection.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
            this->lastRequest = bytes.substr(0, static_cast<std::size_t>(count));
            if (!response.empty())
                connection.sendBytes(response.data(), static_cast<int>(response.size()));
            connection.close();
            this->closedConnections.tryPush(response.size());
        }
    }

    Poco::Net::ServerSocket socket;
    std::vector<std::string> responses;
    std::thread thread;
};

PlatformResult execute(const Address& address, const PlatformRequest& request)
{
    Ring<PlatformReply> replies(10);
    auto client = PlatformClientBuilder()
                      .withAddress(address)
                      .withTimeout(Milliseconds(5000))
                      .withWorkers(1)
                      .withSink([&](const PlatformReply& reply) { replies.tryPush(reply); })
                      .build();
    REQUIRE(client->submit({ OperationId(4), request }));
    const auto reply = replies.popUntil(std::chrono::steady_clock::now() + Seconds(30));
    REQUIRE(reply.has_value());
    CHECK(reply->operation == OperationId(4));
    return reply->result;
}

std::string httpResponse(const std::string& status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + headers + "\r\n"
        + body;
}

PlatformResult resultOf(const std::string& response, const PlatformRequest& request)
{
    ScriptedPlatform platform({ response });
    return execute(platform.address(), request);
}

const TableInsert insert { "claim/a b/c?", "value" };
const PlatformResult maybeExecuted = PlatformUnavailable { true };

}

TEST_CASE("valid responses are converted to results")
{
    CHECK(resultOf(httpResponse("201 Created", "ETag: \"1\"\r\n", ""), insert) == PlatformResult(WriteDone { 1 }));
    const std::string row = R"({"key":"claim/a b/c?","value":"other","version":3})";
    CHECK(resultOf(httpResponse("412 Precondition Failed", "", row), insert)
        == PlatformResult(WriteConflict { TableRecord { "claim/a b/c?", "other", 3 } }));
    CHECK(resultOf(httpResponse("412 Precondition Failed", "", "{}"), TableReplace { "k", "v", 2 })
        == PlatformResult(WriteConflict {}));
    CHECK(resultOf("HTTP/1.1 204 No Content\r\n\r\n", TableErase { "k", 2 }) == PlatformResult(WriteDone {}));
    CHECK(resultOf(httpResponse("404 Not Found", "", ""), TableRead { "k" }) == PlatformResult(Rows {}));
    CHECK(resultOf(httpResponse("404 Not Found", "", ""), ObjectRead { "k" }) == PlatformResult(ObjectMissing {}));
    CHECK(resultOf(httpResponse("200 OK", "", R"({"instances":[{"name":"a","leaving":true}]})"), InstanceListRead {})
        == PlatformResult(InstanceList { { { "a", true } } }));
}

TEST_CASE("the key is percent-encoded in the path and the condition header is sent")
{
    std::string request;
    {
        ScriptedPlatform platform({ httpResponse("201 Created", "ETag: \"1\"\r\n", "") });
        execute(platform.address(), insert);
        request = platform.lastRequest;
    }
    CHECK(request.find("PUT /table/claim/a%20b/c%3F HTTP/1.1") == 0);
    CHECK(request.find("If-None-Match: *") != std::string::npos);
}

TEST_CASE("error responses and malformed responses leave open whether a write took effect")
{
    CHECK(resultOf(httpResponse("500 Oops", "", ""), insert) == maybeExecuted);
    CHECK(resultOf(httpResponse("503 Busy", "", ""), TableErase { "k", 1 }) == maybeExecuted);
    CHECK(resultOf("", insert) == maybeExecuted);
    CHECK(resultOf("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"rows\":[", TableScan {}) == maybeExecuted);
    CHECK(resultOf(httpResponse("200 OK", "", "[]"), TableScan {}) == maybeExecuted);
    CHECK(resultOf(httpResponse("200 OK", "", "not json"), TableRead { "k" }) == maybeExecuted);
    CHECK(resultOf(httpResponse("201 Created", "ETag: new\r\n", ""), insert) == maybeExecuted);
    const std::string otherKeyRow = R"({"key":"another","value":"v","version":3})";
    CHECK(resultOf(httpResponse("200 OK", "", otherKeyRow), TableRead { "k" }) == maybeExecuted);
}

TEST_CASE("a refused connection results in PlatformUnavailable with nothing sent")
{
    Poco::Net::ServerSocket closing(Poco::Net::SocketAddress("127.0.0.1", 0));
    const Address address { "127.0.0.1", closing.address().port() };
    closing.close();
    CHECK(execute(address, insert) == PlatformResult(PlatformUnavailable { false }));
}

TEST_CASE("a persistent connection that the platform closed is not reused for a write")
{
    ScriptedPlatform platform(
        { httpResponse("201 Created", "ETag: \"1\"\r\n", ""), httpResponse("201 Created", "ETag: \"2\"\r\n", "") });
    Ring<PlatformReply> replies(10);
    auto client = PlatformClientBuilder()
                      .withAddress(platform.address())
                      .withTimeout(Milliseconds(5000))
                      .withWorkers(1)
                      .withSink([&](const PlatformReply& reply) { replies.tryPush(reply); })
                      .build();
    for (std::uint64_t version = 1; version <= 2; ++version) {
        REQUIRE(client->submit({ OperationId(version), insert }));
        const auto reply = replies.popUntil(std::chrono::steady_clock::now() + Seconds(30));
        REQUIRE(reply.has_value());
        CHECK(reply->result == PlatformResult(WriteDone { version }));
        REQUIRE(platform.closedConnections.popUntil(std::chrono::steady_clock::now() + Seconds(30)).has_value());
    }
}
