#include "support/RawServer.h"
#include "support/TrafficHarness.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

constexpr std::size_t memoryBytes = std::size_t { 8 } * 1024 * 1024;
constexpr std::size_t connections = 100;
constexpr Milliseconds unreadLimit(600);
/** More than a response, far less than the responses to all requests sent ahead. */
constexpr std::size_t smallRest = 65536;

std::string requestTo(const std::string& path, const std::string& body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: host.example\r\nX-Api-Key: key-a\r\nX-Teaselfold-Attempt-Id: a1\r\n"
        + "X-Teaselfold-Deadline-Ms: 30000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::size_t countOf(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size()))
        ++count;
    return count;
}

/** Sends the same bytes until the connection ends or takes nothing for a second. */
void sendAhead(Poco::Net::StreamSocket& socket, const std::string& bytes, std::size_t times)
{
    socket.setSendTimeout(Poco::Timespan(1, 0));
    try {
        for (std::size_t index = 0; index < times; ++index)
            socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    } catch (const Poco::Exception&) {
        // The gateway has closed the connection or stopped to read.
    }
}

std::string awaitLogged(const TrafficHarness& harness, const std::string& event, const std::string& key)
{
    for (int attempt = 0; attempt < 200; ++attempt) {
        const std::string value = harness.loggedField(event, key);
        if (!value.empty())
            return value;
        std::this_thread::sleep_for(Milliseconds(50));
    }
    return {};
}

}

// Guards against a gateway that runs out of memory: it queued the answers to requests sent ahead without end.
TEST_CASE("Answers of a caller that reads nothing do not pile up, and its connection is closed")
{
    RawServer endpoint([](RawServer::Connection&) {});
    TrafficHarness harness(endpoint.address(), { memoryBytes, connections, unreadLimit });
    Poco::Net::StreamSocket caller = harness.connect();
    caller.setReceiveBufferSize(4096);
    sendAhead(caller, requestTo("/nowhere/1", ""), 100000);
    CHECK(awaitLogged(harness, "caller_shed", "reason") == "unread");
    CHECK(std::stoul(harness.loggedField("caller_shed", "unsent_bytes")) < smallRest);
}

// Guards against requests that are forgotten while the answers before them are written.
TEST_CASE("Requests sent ahead are all answered once their caller reads")
{
    RawServer endpoint([](RawServer::Connection&) {});
    TrafficHarness harness(endpoint.address());
    Poco::Net::StreamSocket caller = harness.connect();
    constexpr std::size_t requests = 3000;
    std::thread sender([&] { sendAhead(caller, requestTo("/nowhere/1", "body"), requests); });
    std::string text;
    while (countOf(text, "HTTP/1.1 404") < requests) {
        std::array<char, 65536> buffer {};
        const int count = caller.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        REQUIRE(count > 0);
        text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    sender.join();
    CHECK(countOf(text, "HTTP/1.1 ") == requests);
}

// Guards against a process that takes in bodies without end, and against a refusal that does not say that nothing has
// run.
TEST_CASE("A body for which there is no memory is refused as not run")
{
    RawServer endpoint([](RawServer::Connection& connection) { connection.wait(Seconds(30)); });
    TrafficHarness harness(endpoint.address(), { memoryBytes, connections, Seconds(10) });
    Poco::Net::StreamSocket first = harness.connect();
    sendAhead(first, requestTo("/write/1", std::string(3000000, 'b')), 1);
    std::this_thread::sleep_for(Milliseconds(500));
    Poco::Net::StreamSocket second = harness.connect();
    const std::string head = requestTo("/write/1", std::string(3000000, 'b')).substr(0, 250);
    sendAhead(second, head, 1);
    const std::string answer = TrafficHarness::readUntilClosed(second);
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("Retry-After: ") != std::string::npos);
    CHECK(answer.find("\"run\":\"no\"") != std::string::npos);
    CHECK(harness.loggedField("caller_shed", "reason") == "memory");
}
