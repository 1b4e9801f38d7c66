#include "support/RawServer.h"
#include "support/TrafficHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("A second copy of an answer on a connection in use again never reaches the next caller")
{
    for (const Milliseconds delay : { Milliseconds(0), Milliseconds(50), Milliseconds(500) }) {
        CAPTURE(delay.count());
        RawServer endpoint([&](RawServer::Connection& connection) {
            while (const auto head = connection.readHead()) {
                const std::string answer = signedResponse(headField(*head, "X-Teaselfold-Attempt-Id"));
                connection.send(answer);
                connection.wait(delay);
                // The next request of another caller may already be on this connection.
                connection.send(answer);
            }
        });
        const TrafficHarness harness(endpoint.address());
        auto first = harness.connect();
        auto second = harness.connect();
        int served = 0;
        for (int round = 0; round < 6; ++round) {
            auto& socket = round % 2 == 0 ? first : second;
            const std::string id = "request-" + std::to_string(round);
            TrafficHarness::sendRequest(socket, "/write/1", id);
            const std::string answer = TrafficHarness::readResponse(socket);
            const bool isOwnAnswer = answer.starts_with("HTTP/1.1 200") && answer.ends_with("answer to " + id);
            const bool isFailure = answer.starts_with("HTTP/1.1 50");
            CHECK((isOwnAnswer || isFailure));
            served += isOwnAnswer ? 1 : 0;
            if (isFailure && headField(answer, "Connection") == "close")
                socket = harness.connect();
        }
        CHECK(served > 0);
    }
}
