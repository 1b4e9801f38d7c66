#include "emulator/host/PlatformHost.h"

#include <doctest/doctest.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>

using namespace teaselfold;

namespace {

/** @return a TCP port that was free when checked. */
std::uint16_t freePort()
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return socket.address().port();
}

/** @return the HTTP status, or 0 if the connection closed without a response. */
int requestStatus(std::uint16_t port, const std::string& method, const std::string& path, const std::string& body)
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

TEST_CASE("the fault lose_answers drops the response after the write has taken effect")
{
    const std::uint16_t port = freePort();
    PlatformHost platform(Address { "127.0.0.1", port }, PlatformSettings {});
    platform.start();
    CHECK(requestStatus(port, "POST", "/faults", R"({"mode":"lose_answers"})") == 200);
    CHECK(requestStatus(port, "PUT", "/table/claim", "mine") == 0);
    CHECK(requestStatus(port, "POST", "/faults", R"({"mode":"none"})") == 200);
    CHECK(requestStatus(port, "GET", "/table/claim", "") == 200);
    CHECK(requestStatus(port, "PUT", "/table/claim", "mine") == 412);
}

TEST_CASE("the fault down drops the connection before the write takes effect")
{
    const std::uint16_t port = freePort();
    PlatformHost platform(Address { "127.0.0.1", port }, PlatformSettings {});
    platform.start();
    CHECK(requestStatus(port, "POST", "/faults", R"({"mode":"down"})") == 200);
    CHECK(requestStatus(port, "PUT", "/table/claim", "mine") == 0);
    CHECK(requestStatus(port, "POST", "/faults", R"({"mode":"none"})") == 200);
    CHECK(requestStatus(port, "GET", "/table/claim", "") == 404);
}

TEST_CASE("an unknown fault mode is refused")
{
    const std::uint16_t port = freePort();
    PlatformHost platform(Address { "127.0.0.1", port }, PlatformSettings {});
    platform.start();
    CHECK(requestStatus(port, "POST", "/faults", R"({"mode":"sideways"})") == 400);
}
