#include "adapters/net/HttpHeads.h"
#include "support/CallerServerHarness.h"
#include "support/RawServer.h"
#include "support/ServiceCalls.h"
#include "support/TrafficHarness.h"

#include <doctest/doctest.h>

#include <array>

using namespace teaselfold;

namespace {

constexpr std::size_t maxHeadBytes = 4096;

/** Values in the notation of RFC 2047; decoded, most of them contain line ends. */
const std::array encodedValues { "=?UTF-8?Q?x=0D=0AX-Teaselfold-Tenant:=20team-b?=", "=?utf-8?b?eA0KS3YtRnJvbTogYQ==?=",
    "=?UTF-8?Q?x=0D=0AContent-Length:=200=0D=0A=0D=0AGET=20/=20HTTP/1.1?=", "a =?iso-8859-1?Q?=0A?= b =?UTF-8?Q?c?=",
    "=?UTF-8?Q?caf=C3=A9?=", "=?UTF-8?Q?unfinished", "=?=?=?" };

std::size_t countLines(const std::string& head)
{
    std::size_t lines = 0;
    for (std::size_t at = head.find("\r\n"); at != std::string::npos; at = head.find("\r\n", at + 2))
        ++lines;
    return lines;
}

}

// Guards against a parser that decodes values after they were checked: line ends then become fields and requests.
TEST_CASE("A parsed head has the values of its fields as they were received")
{
    for (const std::string value : encodedValues) {
        CAPTURE(value);
        const std::string field = "X-Note: " + value + "\r\n";
        const auto request = parseRequestHead("GET /a/ HTTP/1.1\r\n" + field + "\r\n", maxHeadBytes);
        const auto* requestHead = std::get_if<ParsedHead<RequestHead>>(&request);
        REQUIRE(requestHead);
        CHECK(*findField(requestHead->head.fields, "x-note") == value);
        CHECK(serializeHead(requestHead->head) == "GET /a/ HTTP/1.1\r\n" + field + "\r\n");
        const auto response = parseResponseHead("HTTP/1.1 200 OK\r\n" + field + "\r\n", maxHeadBytes);
        const auto* responseHead = std::get_if<ParsedHead<ResponseHead>>(&response);
        REQUIRE(responseHead);
        CHECK(*findField(responseHead->head.fields, "x-note") == value);
        CHECK(serializeHead(responseHead->head) == "HTTP/1.1 200 OK\r\n" + field + "\r\n");
    }
}

TEST_CASE("A parsed head has its fields in the order in which they were received, without surrounding spaces")
{
    const auto read
        = parseRequestHead("POST /a/?b HTTP/1.0\r\nB:1\r\nA: \t2 \t\r\nB:   3, 4\r\nC:\r\n\r\n", maxHeadBytes);
    const auto* parsed = std::get_if<ParsedHead<RequestHead>>(&read);
    REQUIRE(parsed);
    CHECK(parsed->head.method == "POST");
    CHECK(parsed->head.target == "/a/?b");
    CHECK(parsed->head.isHttp10);
    CHECK(serializeHead(parsed->head) == "POST /a/?b HTTP/1.1\r\nB: 1\r\nA: 2\r\nB: 3, 4\r\nC: \r\n\r\n");
}

TEST_CASE("A status line has a status of three digits and an optional reason")
{
    const auto statusOf = [](const std::string& line) -> int {
        const auto read = parseResponseHead(line + "\r\n\r\n", maxHeadBytes);
        const auto* parsed = std::get_if<ParsedHead<ResponseHead>>(&read);
        return parsed ? parsed->head.status : 0;
    };
    CHECK(statusOf("HTTP/1.1 200 OK") == 200);
    CHECK(statusOf("HTTP/1.0 503 Not Now At All") == 503);
    CHECK(statusOf("HTTP/1.1 404") == 404);
    CHECK(statusOf("HTTP/1.1 404 ") == 404);
    for (const std::string line : { "HTTP/1.1 20", "HTTP/1.1 2000 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 2x0 OK",
             "HTTP/1.1  200 OK", "HTTP/1.1 OK", "HTTP/1.1 020 OK", "HTTP/2.0 200 OK", "200 OK" }) {
        CAPTURE(line);
        CHECK(statusOf(line) == 0);
    }
}

// Guards against callers who add fields and requests of their choice to what an endpoint receives.
TEST_CASE("An encoded value of a caller reaches the endpoint encoded, and that of an endpoint the caller")
{
    for (const std::string value : encodedValues) {
        CAPTURE(value);
        std::mutex mutex;
        std::vector<std::string> heads;
        RawServer endpoint([&](RawServer::Connection& connection) {
            while (const auto head = connection.readHead()) {
                {
                    const std::lock_guard lock(mutex);
                    heads.push_back(*head);
                }
                connection.send(
                    "HTTP/1.1 200 OK\r\nX-Teaselfold-Attempt-Id: " + headField(*head, "X-Teaselfold-Attempt-Id")
                    + "\r\nX-Teaselfold-Server-Signature: s\r\nX-Subject: " + value
                    + "\r\nContent-Length: 4\r\n\r\nbody");
            }
        });
        const TrafficHarness harness(endpoint.address());
        auto caller = harness.connect();
        const std::string request = "POST /write/1 HTTP/1.1\r\nHost: host.example\r\nX-Api-Key: key-a\r\n"
                                    "X-Teaselfold-Attempt-Id: request-1\r\nX-Note: "
            + value + "\r\nContent-Length: 0\r\n\r\n";
        caller.sendBytes(request.data(), static_cast<int>(request.size()));
        const std::string answer = TrafficHarness::readResponse(caller);
        CHECK(headField(answer, "X-Subject") == value);
        CHECK(answer.ends_with("\r\n\r\nbody"));
        const std::lock_guard lock(mutex);
        REQUIRE(heads.size() == 1);
        CHECK(headField(heads[0], "X-Note") == value);
        CHECK(headField(heads[0], "X-Teaselfold-Tenant") == "team-a");
        // The start line, Host, the caller's id, X-Note, deadline, target instance, team and length, and the empty
        // line.
        CHECK(countLines(heads[0]) == 9);
    }
}

// Guards against callers of an entry who add fields and requests of their choice to what a service receives.
TEST_CASE("An entry refuses a service call with a value whose decoded form contains line ends")
{
    for (const std::string value : { encodedValues[0], encodedValues[1], encodedValues[2], encodedValues[3] }) {
        CAPTURE(value);
        CallerServerHarness harness;
        auto caller = harness.sendRaw("POST /services/register/1 HTTP/1.1\r\nHost: entry\r\nTeaselfold-Team: team\r\n"
                                      "Idempotency-Key: k\r\nContent-Length: 0\r\nX-Note: "
            + value + "\r\n\r\n");
        const auto submitted = harness.router.popUntil(std::chrono::steady_clock::now() + Milliseconds(300));
        CHECK_FALSE(submitted.has_value());
        if (!submitted)
            CHECK(CallerServerHarness::readUntilClosed(caller).starts_with("HTTP/1.1 400"));
    }
}

// Guards against a service whose encoded value splits the answer of an entry's caller.
TEST_CASE("A service's answer with a value whose decoded form contains line ends is not relayed")
{
    for (const std::string value : { encodedValues[0], encodedValues[1], encodedValues[2], encodedValues[3] }) {
        CAPTURE(value);
        RawServer service([&](RawServer::Connection& connection) {
            connection.readHead();
            connection.send("HTTP/1.1 200 OK\r\nX-Subject: " + value + "\r\nContent-Length: 4\r\n\r\nbody");
        });
        const auto event = callService(service.address());
        const auto* failed = std::get_if<ServiceCallFailed>(&event);
        REQUIRE(failed);
        CHECK(failed->run == Executed::Unknown);
    }
}
