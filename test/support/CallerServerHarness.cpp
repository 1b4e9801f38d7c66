#include "support/CallerServerHarness.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <array>

namespace teaselfold {

namespace {

    std::uint16_t freePort()
    {
        const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
        return socket.address().port();
    }

    Fleet fleetWithTeams()
    {
        Fleet fleet;
        fleet.version = ReleaseVersion(1);
        fleet.teams[TeamId("team")] = { TeamId("team"), 1, 10, "" };
        // SHA-256 of "secret".
        fleet.teams[TeamId("guarded")]
            = { TeamId("guarded"), 1, 10, "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b" };
        return fleet;
    }

}

CallerServerHarness::CallerServerHarness(CallerLimits limits, std::size_t ringCapacity)
    : router(ringCapacity)
    , port(freePort())
{
    this->teams.update(fleetWithTeams());
    this->server = CallerServerBuilder()
                       .withAddress({ "127.0.0.1", this->port })
                       .withLimits(limits)
                       .build({ this->router, this->registry, this->teams, [] { return true; } });
    this->server->start();
}

CallerServerHarness::~CallerServerHarness()
{
    this->router.close();
    this->server->stop();
}

Poco::Net::StreamSocket CallerServerHarness::sendRaw(const std::string& bytes)
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", this->port));
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    return socket;
}

Poco::Net::StreamSocket CallerServerHarness::sendCompletionRequest(const std::string& body, const std::string& team)
{
    return this->sendRaw("POST /v1/completions HTTP/1.1\r\nHost: entry\r\nTeaselfold-Team: " + team
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

std::string CallerServerHarness::readUntilClosed(Poco::Net::StreamSocket& socket)
{
    std::string text;
    std::array<char, 4096> chunk {};
    while (const int count = socket.receiveBytes(chunk.data(), chunk.size()))
        text.append(chunk.data(), static_cast<std::size_t>(count));
    return text;
}

}
