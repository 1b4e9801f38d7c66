#include "adapters/http/AdminServer.h"
#include "support/ControlFakes.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <doctest/doctest.h>

using namespace teaselfold;
using namespace teaselfold::test;

namespace {

/** An AdminServer on loopback with a running control duty. */
class AdminHarness {
public:
    AdminHarness()
        : duty(ConfigurationControllerBuilder().withCodec(this->codec).withRandomness(this->randomness).build())
        , server(makeOptions(), this->duty.ring(),
              { [this] { return this->duty.isReady(); }, [] { return std::string("up 1\n"); } })
    {
        this->platform.ring = &this->duty.ring();
        this->duty.start({ this->platform, this->router, this->server, this->telemetry });
        REQUIRE_FALSE(this->server.start().has_value());
    }

    ~AdminHarness()
    {
        this->server.stop();
        this->duty.stop();
    }

    AdminServerOptions makeOptions()
    {
        const Poco::Net::ServerSocket probe(Poco::Net::SocketAddress("127.0.0.1", 0));
        this->port = probe.address().port();
        AdminServerOptions options;
        options.listen = { "127.0.0.1", this->port };
        options.requireTokens = false;
        return options;
    }

    std::pair<int, std::string> call(const std::string& method, const std::string& path, const std::string& body = "")
    {
        Poco::Net::HTTPClientSession session("127.0.0.1", this->port);
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        std::string text;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), text);
        return { response.getStatus(), text };
    }

    std::uint16_t port { 0 };

private:
    JsonDocumentCodec codec;
    CountingRandomness randomness { 1 };
    SynchronousPlatform platform;
    Ring<RouterEvent> router { 64 };
    SilentTelemetry telemetry;
    ControlDuty duty;
    AdminServer server;
};

const char* const firstNote = "{id: n, base: 0, author: a, reason: r, added: {zones: [{id: kgl-a}]}}";

}

TEST_CASE("notes and orders sent over HTTP take effect and are shown by later queries")
{
    AdminHarness harness;
    CHECK(harness.call("GET", "/healthz").first == 200);
    CHECK(harness.call("GET", "/metrics").second == "up 1\n");
    std::pair<int, std::string> published { 503, "" };
    // The control duty responds with 503 until its first read of the table completes.
    while (published.first == 503)
        published = harness.call("POST", "/admin/notes", firstNote);
    CHECK(published.first == 201);
    CHECK(harness.call("POST", "/admin/notes", "{id: m, base: 0, author: a, reason: r}").first == 409);
    CHECK(harness.call("GET", "/readyz").first == 200);
    const auto order = harness.call("POST", "/admin/zones/kgl-a/out", R"({"author":"a","reason":"r"})");
    CHECK(order.first == 200);
    CHECK(order.second.find("\"recorded\"") != std::string::npos);
    CHECK(harness.call("GET", "/admin/status").second.find(R"("out":true)") != std::string::npos);
    CHECK(harness.call("GET", "/admin/notes?after=0").second.find(R"("version":1)") != std::string::npos);
    CHECK(harness.call("GET", "/admin/notes/2").first == 404);
}

TEST_CASE("malformed and oversized requests to the admin port do not affect other requests")
{
    AdminHarness harness;
    Poco::Net::StreamSocket idle(Poco::Net::SocketAddress("127.0.0.1", harness.port));
    Poco::Net::StreamSocket malformed(Poco::Net::SocketAddress("127.0.0.1", harness.port));
    const std::string bytes("\x00\xff not HTTP \r\n\r\n", 16);
    malformed.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    CHECK(harness.call("GET", "/healthz").first == 200);
    CHECK(harness.call("POST", "/admin/notes", std::string(1100000, 'x')).first == 413);
    CHECK(harness.call("GET", "/admin/notes?after=x").first == 400);
    CHECK(harness.call("GET", "/%zz").first == 400);
}
