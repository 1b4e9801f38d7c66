#include "support/CallerServerHarness.h"

#include <doctest/doctest.h>

#include <vector>

using namespace teaselfold;

TEST_CASE("300 open streams do not exhaust the threads for the next caller")
{
    constexpr std::size_t streams = 300;
    CallerServerHarness harness;
    std::vector<Poco::Net::StreamSocket> sockets;
    for (std::size_t number = 0; number < streams; ++number) {
        sockets.push_back(harness.sendCompletionRequest(R"({"model":"m","prompt":"p","stream":true})"));
        const auto event = harness.router.popUntil(std::chrono::steady_clock::now() + Seconds(5));
        REQUIRE(event);
        REQUIRE(std::holds_alternative<CompletionRequest>(*event));
    }
    auto probe = harness.sendRaw("GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n");
    CHECK(CallerServerHarness::readUntilClosed(probe).find("200 OK") != std::string::npos);
}
