#include "emulator/host/PlatformHost.h"

#include <doctest/doctest.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>

using namespace teaselfold;

namespace {

/** @return a port that was free a moment ago. */
std::uint16_t freePort()
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return socket.address().port();
}

/** @return the status, or 0 when the connection ended without an answer. */
int exchange(std::uint16_t port, const std::string& method, const std::string& path, const std::string& body)
{
    try {
        Poco::Net::HTTPClientSession session("127.0.0.1", port);
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        if (method == "PUT")
            request.set("If-None-Match", "*");
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        session.receiveResponse(response);
        return response.getStatus();
    } catch (const Poco::Exception&) {
        return 0;
    }
}

}

TEST_CASE("an answer is lost after its write has taken effect")
{
    const std::uint16_t port = freePort();
    PlatformHost platform(Address { "127.0.0.1", port }, PlatformSettings {});
    platform.start();
    CHECK(exchange(port, "POST", "/faults", R"({"mode":"lose_answers"})") == 200);
    CHECK(exchange(port, "PUT", "/table/claim", "mine") == 0);
    CHECK(exchange(port, "POST", "/faults", R"({"mode":"none"})") == 200);
    CHECK(exchange(port, "GET", "/table/claim", "") == 200);
    CHECK(exchange(port, "PUT", "/table/claim", "mine") == 412);
}

TEST_CASE("a platform that is down takes no write")
{
    const std::uint16_t port = freePort();
    PlatformHost platform(Address { "127.0.0.1", port }, PlatformSettings {});
    platform.start();
    CHECK(exchange(port, "POST", "/faults", R"({"mode":"down"})") == 200);
    CHECK(exchange(port, "PUT", "/table/claim", "mine") == 0);
    CHECK(exchange(port, "POST", "/faults", R"({"mode":"none"})") == 200);
    CHECK(exchange(port, "GET", "/table/claim", "") == 404);
}

TEST_CASE("an unknown fault is refused")
{
    const std::uint16_t port = freePort();
    PlatformHost platform(Address { "127.0.0.1", port }, PlatformSettings {});
    platform.start();
    CHECK(exchange(port, "POST", "/faults", R"({"mode":"sideways"})") == 400);
}
