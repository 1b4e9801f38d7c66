#include "core/gateway/ResponseBudget.h"
#include "support/RawServer.h"
#include "support/TrafficHarness.h"

#include <doctest/doctest.h>

#include <thread>

using namespace teaselfold;

namespace {

constexpr std::size_t memoryBytes = std::size_t { 8 } * 1024 * 1024;
constexpr std::size_t callers = 30;
/** Less than the largest response and the largest event that are taken alone. */
constexpr std::size_t endlessBytes = std::size_t { 900 } * 1024;
const std::string signedHead = "HTTP/1.1 200 OK\r\nX-Teaselfold-Server-Signature: s\r\n";
const std::string streamHead = signedHead + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\ndata: ";

/** Answers ordinary requests, and all others with the beginning of a response that goes on without end. */
void serve(RawServer::Connection& connection, const std::string& beginning)
{
    while (const auto head = connection.readHead()) {
        if (head->starts_with("POST /write/ordinary")) {
            connection.send(signedResponse(headField(*head, "X-Teaselfold-Attempt-Id")));
            continue;
        }
        connection.send(beginning + std::string(endlessBytes, 'x'));
        connection.wait(Seconds(20));
    }
}

/** Waits until the number of log events of a name no longer rises. @return that number. */
std::size_t settledCount(const TrafficHarness& harness, const std::string& event)
{
    constexpr int quietRounds = 10;
    constexpr int maxRounds = 100;
    std::size_t count = 0;
    int quiet = 0;
    for (int round = 0; round < maxRounds && quiet < quietRounds; ++round) {
        std::this_thread::sleep_for(Milliseconds(100));
        const std::size_t current = harness.loggedCount(event);
        quiet = current == count && current > 0 ? quiet + 1 : 0;
        count = current;
    }
    return count;
}

}

// Guards against a process that runs out of memory, or closes the connections of ordinary callers, because an endpoint
// in trouble sends bytes without end into many responses.
TEST_CASE("Endless answers give way to each other, not to the connections of ordinary callers")
{
    for (const std::string path : { "/write/1", "/draft/1" }) {
        CAPTURE(path);
        const bool isStream = path == "/draft/1";
        const std::string beginning = isStream ? streamHead : signedHead + "\r\n";
        RawServer endpoint([&](RawServer::Connection& connection) { serve(connection, beginning); });
        TrafficHarness harness(endpoint.address(), { memoryBytes, 100, Seconds(10) });
        auto ordinary = harness.connect();
        TrafficHarness::sendRequest(ordinary, "/write/ordinary", "first");
        CHECK(TrafficHarness::readResponse(ordinary).ends_with("answer to first"));
        std::vector<Poco::Net::StreamSocket> crowd;
        for (std::size_t caller = 0; caller < callers; ++caller) {
            crowd.push_back(harness.connect());
            TrafficHarness::sendRequest(crowd.back(), path, "a" + std::to_string(caller));
        }
        const std::size_t shed = settledCount(harness, "response_shed");
        CHECK(shed >= callers - memoryBytes / endlessBytes);
        CHECK(shed < callers);
        CHECK(harness.loggedCount("caller_shed") == 0);
        TrafficHarness::sendRequest(ordinary, "/write/ordinary", "second");
        CHECK(TrafficHarness::readResponse(ordinary).ends_with("answer to second"));
    }
}

TEST_CASE("The responses that buffer most are given up until the others fit")
{
    ResponseBudget budget(1000);
    budget.record(ConnectionId(1), 400);
    budget.record(ConnectionId(2), 600);
    CHECK_FALSE(budget.excess());
    budget.record(ConnectionId(3), 100);
    CHECK(budget.excess() == ConnectionId(2));
    budget.closed(ConnectionId(2));
    CHECK_FALSE(budget.excess());
    CHECK(budget.heldBytes() == 500);
    // What was relayed no longer counts.
    budget.record(ConnectionId(1), 0);
    budget.record(ConnectionId(3), 30);
    CHECK(budget.heldBytes() == 30);
}

// Guards against a calm process that gives up the only large response that it reads.
TEST_CASE("A single response is read whatever it takes")
{
    ResponseBudget budget(1000);
    budget.record(ConnectionId(1), 5000);
    CHECK_FALSE(budget.excess());
}
