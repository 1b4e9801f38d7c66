#include "support/CallerServerHarness.h"

#include <doctest/doctest.h>

#include <vector>

using namespace teaselfold;

TEST_CASE("hundreds of open streams leave room for the next caller")
{
    constexpr std::size_t streams = 300;
    CallerServerHarness port;
    std::vector<Poco::Net::StreamSocket> sockets;
    for (std::size_t number = 0; number < streams; ++number) {
        sockets.push_back(port.complete(R"({"model":"m","prompt":"p","stream":true})"));
        const auto event = port.router.popUntil(std::chrono::steady_clock::now() + Seconds(5));
        REQUIRE(event);
        REQUIRE(std::holds_alternative<CompletionRequest>(*event));
    }
    auto probe = port.open("GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n");
    CHECK(CallerServerHarness::readAll(probe).find("200 OK") != std::string::npos);
}
