#include "support/TrafficHarness.h"

#include "runtime/BootClock.h"
#include "support/RawServer.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>

namespace teaselfold {

namespace {

    /** The port is free again when this returns, and nothing else in the test listens meanwhile. */
    Address freeAddress()
    {
        const Poco::Net::ServerSocket probe(Poco::Net::SocketAddress("127.0.0.1", 0));
        return { "127.0.0.1", probe.address().port() };
    }

}

TrafficHarness::TrafficHarness(const Address& endpoint, const CallerBudgetLimits& callerLimits)
    : gateway({}, { GatewayId("gateway-1"), ZoneId("north") }, this->randomness)
    , callers(freeAddress())
{
    TrafficOptions options;
    options.callers = this->callers;
    options.readiness = freeAddress();
    options.callerLimits = callerLimits;
    this->server = std::make_unique<TrafficServer>(options,
        TrafficServer::Dependencies { this->gateway, this->codec, this->telemetry, this->peers, this->store,
            this->rollouts, [] { return std::string(); }, &bootTimeNow, [] {}, [] {} });
    EndpointRecord plain = GatewayScenario::plainEndpoint("p4");
    EndpointRecord engine = GatewayScenario::engineEndpoint("e1");
    plain.address = endpoint;
    engine.address = endpoint;
    auto& ring = this->server->ring();
    ring.push(ConfigurationRead { std::make_shared<const GatewayConfiguration>(GatewayScenario::configuration()) });
    ring.push(EndpointsListed { { plain, engine } });
    // The harness reads no store, so the data counts as fresh for as long as a test runs.
    const Instant farFuture = bootTimeNow() + Seconds(600);
    ring.push(StoreReadSucceeded { StoreSection::Configuration, farFuture });
    ring.push(StoreReadSucceeded { StoreSection::Endpoints, farFuture });
    this->server->start();
}

void TrafficHarness::RecordingTelemetry::log(const LogEvent& event)
{
    const std::lock_guard lock(this->mutex);
    this->events.push_back(event);
}

std::vector<LogEvent> TrafficHarness::RecordingTelemetry::recorded() const
{
    const std::lock_guard lock(this->mutex);
    return this->events;
}

std::string TrafficHarness::loggedField(const std::string& event, const std::string& key) const
{
    std::string value;
    for (const LogEvent& logged : this->telemetry.recorded()) {
        for (const LogField& field : logged.fields)
            value = logged.name == event && field.key == key ? field.value : value;
    }
    return value;
}

std::size_t TrafficHarness::loggedCount(const std::string& event) const
{
    const auto events = this->telemetry.recorded();
    return static_cast<std::size_t>(
        std::count_if(events.begin(), events.end(), [&](const LogEvent& logged) { return logged.name == event; }));
}

void TrafficHarness::changeEndpoint(const EndpointRecord& endpoint)
{
    this->server->ring().push(EndpointsChanged { { endpoint }, {} });
}

void TrafficHarness::requestStop() { this->server->ring().push(GatewayStopRequested { bootTimeNow() }); }

Poco::Net::StreamSocket TrafficHarness::connect() const
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(this->callers.host, this->callers.port));
    socket.setReceiveTimeout(Poco::Timespan(30, 0));
    return socket;
}

void TrafficHarness::sendRequest(Poco::Net::StreamSocket& socket, const std::string& path, const std::string& id)
{
    const std::string request = "POST " + path
        + " HTTP/1.1\r\nHost: host.example\r\nX-Api-Key: key-a\r\nX-Teaselfold-Attempt-Id: " + id
        + "\r\nX-Teaselfold-Deadline-Ms: 20000\r\nContent-Length: 0\r\n\r\n";
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
}

std::string TrafficHarness::readResponse(Poco::Net::StreamSocket& socket)
{
    std::string response;
    char byte = 0;
    while (!response.ends_with("\r\n\r\n")) {
        if (socket.receiveBytes(&byte, 1) <= 0)
            return response;
        response.push_back(byte);
    }
    const std::string length = headField(response, "Content-Length");
    for (std::size_t left = length.empty() ? 0 : std::stoul(length); left > 0; --left) {
        if (socket.receiveBytes(&byte, 1) <= 0)
            return response;
        response.push_back(byte);
    }
    return response;
}

std::string TrafficHarness::readChunkedResponse(Poco::Net::StreamSocket& socket)
{
    std::string response;
    char byte = 0;
    try {
        while (!response.ends_with("\r\n0\r\n\r\n") && socket.receiveBytes(&byte, 1) > 0)
            response.push_back(byte);
    } catch (const Poco::Net::ConnectionResetException&) {
        // A reset ends a connection too.
    }
    return response;
}

std::string TrafficHarness::readUntilClosed(Poco::Net::StreamSocket& socket)
{
    std::string text;
    char buffer[4096];
    try {
        for (int count = 0; (count = socket.receiveBytes(buffer, sizeof(buffer))) > 0;)
            text.append(buffer, static_cast<std::size_t>(count));
    } catch (const Poco::Net::ConnectionResetException&) {
        // A reset ends a connection too.
    }
    return text;
}

}
