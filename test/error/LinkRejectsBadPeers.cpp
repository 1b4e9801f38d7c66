#include "support/LinkFakes.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

using namespace teaselfold;

namespace {

const EndpointId endpoint("drafter-1");

Poco::Net::ServerSocket listenOnFreePort() { return Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0)); }

Address addressOf(const Poco::Net::ServerSocket& socket) { return { "127.0.0.1", socket.address().port() }; }

void sendAll(Poco::Net::StreamSocket& socket, const std::string& bytes)
{
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
}

/** @return whether the peer closes the connection within the event timeout. */
bool closedByPeer(Poco::Net::StreamSocket& socket)
{
    socket.setReceiveTimeout(Poco::Timespan(Test::eventTimeout.count(), 0));
    std::array<char, 4096> bytes {};
    try {
        while (socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size())) > 0) { }
    } catch (const Poco::TimeoutException&) {
        return false;
    } catch (const Poco::Exception&) {
        return true;
    }
    return true;
}

std::string hello(const Test::LinkPair& pair, const char* name)
{
    const FrameCodec codec(pair.documents);
    return std::get<std::string>(codec.encode(AgentMessage(AgentHello { EndpointId(name), Incarnation(1) })));
}

}

TEST_CASE("late frames of an unresponsive peer are ignored after its link is replaced")
{
    Test::LinkPair pair;
    auto unresponsive = listenOnFreePort();
    pair.client->open(endpoint, addressOf(unresponsive));
    auto oldSocket = unresponsive.acceptConnection();
    sendAll(oldSocket, hello(pair, "drafter-1"));
    Test::await<LinkUp>(pair.routerRing);
    Test::await<FromAgent>(pair.routerRing);

    pair.client->open(endpoint, pair.serverAddress());
    Test::await<LinkUp>(pair.routerRing);
    Test::await<FromAgent>(pair.routerRing);
    try {
        const FrameCodec codec(pair.documents);
        sendAll(oldSocket, std::get<std::string>(codec.encode(AgentMessage(GenerationStarted { GenerationId(666) }))));
    } catch (const Poco::Exception&) {
        // The old connection is already reset, so its frame cannot arrive either.
    }
    Test::await<EntryLinkUp>(pair.admissionRing);
    pair.server->send(EntryId("entry-1"), GenerationStarted { GenerationId(1) });
    const auto next = Test::await<FromAgent>(pair.routerRing);
    CHECK(std::get<GenerationStarted>(next.message).generation == GenerationId(1));
}

TEST_CASE("an agent whose hello names another endpoint is rejected")
{
    Test::LinkPair pair;
    auto other = listenOnFreePort();
    pair.client->open(endpoint, addressOf(other));
    auto socket = other.acceptConnection();
    sendAll(socket, hello(pair, "drafter-2"));
    CHECK(Test::await<LinkDown>(pair.routerRing).endpoint == endpoint);
    CHECK(closedByPeer(socket));
}

TEST_CASE("an agent that accepts the connection but sends no hello times out")
{
    Test::LinkPair pair;
    auto unresponsive = listenOnFreePort();
    pair.client->open(endpoint, addressOf(unresponsive));
    auto socket = unresponsive.acceptConnection();
    CHECK(Test::await<LinkDown>(pair.routerRing).endpoint == endpoint);
}

TEST_CASE("a refused connection is reported as a link down")
{
    Test::LinkPair pair;
    auto closing = listenOnFreePort();
    const Address address = addressOf(closing);
    closing.close();
    pair.client->open(endpoint, address);
    CHECK(Test::await<LinkDown>(pair.routerRing).endpoint == endpoint);
}

TEST_CASE("an invalid frame on the link port closes only its own connection")
{
    Test::LinkPair pair;
    pair.client->open(endpoint, pair.serverAddress());
    Test::await<LinkUp>(pair.routerRing);
    const Poco::Net::SocketAddress address("127.0.0.1", pair.server->port());
    const FrameCodec codec(pair.documents);
    const std::string heartbeat = std::get<std::string>(codec.encode(EntryMessage(EntryHeartbeat {})));
    const std::vector<std::string> attempts { std::string(64, '\xff'), std::string("\x08\x00\x00\x00garbage!", 12),
        heartbeat };
    for (const std::string& attempt : attempts) {
        Poco::Net::StreamSocket socket(address);
        sendAll(socket, attempt);
        CHECK(closedByPeer(socket));
    }
    pair.client->send(endpoint, CancelGeneration { GenerationId(3) });
    CHECK(std::holds_alternative<CancelGeneration>(Test::await<FromEntry>(pair.admissionRing).message));
}

TEST_CASE("a full router ring delays messages without losing or reordering them")
{
    constexpr std::uint32_t count = 5000;
    Test::LinkPair pair(2);
    pair.client->open(endpoint, pair.serverAddress());
    Test::await<EntryLinkUp>(pair.admissionRing);
    Test::await<LinkUp>(pair.routerRing);
    Test::await<FromAgent>(pair.routerRing);
    for (std::uint32_t index = 0; index < count; ++index)
        pair.server->send(EntryId("entry-1"), GenerationTokens { GenerationId(1), index, { "token" } });
    std::uint32_t inOrder = 0;
    for (std::uint32_t index = 0; index < count; ++index) {
        const auto event = Test::await<FromAgent>(pair.routerRing);
        inOrder += std::get<GenerationTokens>(event.message).firstIndex == index ? 1 : 0;
    }
    CHECK(inOrder == count);
}
