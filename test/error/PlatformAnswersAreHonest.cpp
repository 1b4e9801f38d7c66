#include "adapters/platform/PlatformClient.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

/** Answers one request on each connection with the next of its texts, then closes it. */
class ScriptedPlatform {
public:
    explicit ScriptedPlatform(std::vector<std::string> answers)
        : socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , answers(std::move(answers))
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
        for (const std::string& answer : this->answers) {
            auto connection = this->socket.acceptConnection();
            std::string bytes(4096, '\0');
            const int count = connection.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
            this->lastRequest = bytes.substr(0, static_cast<std::size_t>(count));
            if (!answer.empty())
                connection.sendBytes(answer.data(), static_cast<int>(answer.size()));
            connection.close();
            this->closedConnections.tryPush(answer.size());
        }
    }

    Poco::Net::ServerSocket socket;
    std::vector<std::string> answers;
    std::thread thread;
};

PlatformResult ask(const Address& address, const PlatformRequest& request)
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

std::string http(const std::string& status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + headers + "\r\n"
        + body;
}

PlatformResult answeredBy(const std::string& answer, const PlatformRequest& request)
{
    ScriptedPlatform platform({ answer });
    return ask(platform.address(), request);
}

const TableInsert insert { "claim/a b/c?", "value" };
const PlatformResult sentWithoutAnswer = PlatformUnavailable { true };

}

TEST_CASE("answers in the agreed form become results")
{
    CHECK(answeredBy(http("201 Created", "ETag: \"1\"\r\n", ""), insert) == PlatformResult(WriteDone { 1 }));
    const std::string row = R"({"key":"claim/a b/c?","value":"other","version":3})";
    CHECK(answeredBy(http("412 Precondition Failed", "", row), insert)
        == PlatformResult(WriteConflict { TableRecord { "claim/a b/c?", "other", 3 } }));
    CHECK(answeredBy(http("412 Precondition Failed", "", "{}"), TableReplace { "k", "v", 2 })
        == PlatformResult(WriteConflict {}));
    CHECK(answeredBy("HTTP/1.1 204 No Content\r\n\r\n", TableErase { "k", 2 }) == PlatformResult(WriteDone {}));
    CHECK(answeredBy(http("404 Not Found", "", ""), TableRead { "k" }) == PlatformResult(Rows {}));
    CHECK(answeredBy(http("404 Not Found", "", ""), ObjectRead { "k" }) == PlatformResult(ObjectMissing {}));
    CHECK(answeredBy(http("200 OK", "", R"({"instances":[{"name":"a","leaving":true}]})"), InstanceListRead {})
        == PlatformResult(InstanceList { { { "a", true } } }));
}

TEST_CASE("a key is encoded in the path and the condition is sent")
{
    std::string request;
    {
        ScriptedPlatform platform({ http("201 Created", "ETag: \"1\"\r\n", "") });
        ask(platform.address(), insert);
        request = platform.lastRequest;
    }
    CHECK(request.find("PUT /table/claim/a%20b/c%3F HTTP/1.1") == 0);
    CHECK(request.find("If-None-Match: *") != std::string::npos);
}

TEST_CASE("answers that settle nothing are unavailable, and the write may have taken effect")
{
    CHECK(answeredBy(http("500 Oops", "", ""), insert) == sentWithoutAnswer);
    CHECK(answeredBy(http("503 Busy", "", ""), TableErase { "k", 1 }) == sentWithoutAnswer);
    CHECK(answeredBy("", insert) == sentWithoutAnswer);
    CHECK(answeredBy("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"rows\":[", TableScan {}) == sentWithoutAnswer);
    CHECK(answeredBy(http("200 OK", "", "[]"), TableScan {}) == sentWithoutAnswer);
    CHECK(answeredBy(http("200 OK", "", "not json"), TableRead { "k" }) == sentWithoutAnswer);
    CHECK(answeredBy(http("201 Created", "ETag: new\r\n", ""), insert) == sentWithoutAnswer);
    const std::string crossed = R"({"key":"another","value":"v","version":3})";
    CHECK(answeredBy(http("200 OK", "", crossed), TableRead { "k" }) == sentWithoutAnswer);
}

TEST_CASE("without a connection nothing was sent")
{
    Poco::Net::ServerSocket closing(Poco::Net::SocketAddress("127.0.0.1", 0));
    const Address address { "127.0.0.1", closing.address().port() };
    closing.close();
    CHECK(ask(address, insert) == PlatformResult(PlatformUnavailable { false }));
}

TEST_CASE("a kept connection that the platform closed is not used for a write")
{
    ScriptedPlatform platform(
        { http("201 Created", "ETag: \"1\"\r\n", ""), http("201 Created", "ETag: \"2\"\r\n", "") });
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
