#include "adapters/link/EntryLinkClient.h"

#include "core/common/Check.h"

#include <vector>

namespace teaselfold {

namespace {

    constexpr std::size_t commandCapacity = 8192;

}

EntryLinkClient::EntryLinkClient(EntryId self, Ring<RouterEvent>& routerRing, const DocumentCodec& codec,
    Telemetry& telemetry, Milliseconds connectTimeout)
    : self(std::move(self))
    , frameCodec(codec)
    , telemetry(telemetry)
    , connectTimeout(connectTimeout)
    , routerWriter(&routerRing)
    , commands(commandCapacity)
{
    this->commands.setWaker([this] { this->loop.wake(); });
}

void EntryLinkClient::stop()
{
    this->commands.close();
    this->loop.stop();
}

void EntryLinkClient::send(const EndpointId& endpoint, const EntryMessage& message)
{
    this->enqueue(endpoint, SendCommand { endpoint, message });
}

void EntryLinkClient::open(const EndpointId& endpoint, const Address& address)
{
    this->enqueue(endpoint, OpenCommand { endpoint, address });
}

void EntryLinkClient::close(const EndpointId& endpoint) { this->enqueue(endpoint, CloseCommand { endpoint }); }

void EntryLinkClient::enqueue(const EndpointId& endpoint, Command command)
{
    if (this->commands.tryPush(std::move(command)))
        return;
    {
        std::lock_guard lock(this->overflowMutex);
        this->overflowedEndpoints.insert(endpoint);
    }
    this->loop.wake();
}

void EntryLinkClient::dropOverflowedLinks()
{
    std::set<EndpointId> dropped;
    {
        std::lock_guard lock(this->overflowMutex);
        dropped.swap(this->overflowedEndpoints);
    }
    for (const EndpointId& endpoint : dropped)
        this->dropLink(endpoint, "commands_lost");
}

void EntryLinkClient::woken()
{
    static const HandlerTable<EntryLinkClient, void, Command> handlers(
        &EntryLinkClient::handleSend, &EntryLinkClient::handleOpen, &EntryLinkClient::handleClose);
    this->dropOverflowedLinks();
    while (const auto command = this->commands.tryPop())
        handlers.dispatch(*this, *command);
}

void EntryLinkClient::handleSend(const SendCommand& command)
{
    const auto link = this->links.find(command.endpoint);
    if (link == this->links.end() || !link->second.up)
        return;
    const auto frame = this->frameCodec.encode(command.message);
    if (const auto* bytes = std::get_if<std::string>(&frame))
        this->loop.send(link->second.connection, *bytes);
    else
        this->rejectTooLarge(command);
}

void EntryLinkClient::rejectTooLarge(const SendCommand& command)
{
    this->telemetry.log({ "link_message_too_large", { { "endpoint", command.endpoint.get() } } });
    if (const auto* submit = std::get_if<SubmitGeneration>(&command.message)) {
        const GenerationRefused refused { submit->generation, ErrorCode::TooLarge, Milliseconds(0) };
        this->routerWriter.push(FromAgent { command.endpoint, refused });
    }
    if (const auto* submit = std::get_if<SubmitCall>(&command.message)) {
        const Failure failure { ErrorCode::TooLarge, "the call is too large for a link", Executed::No,
            Milliseconds(0) };
        this->routerWriter.push(FromAgent { command.endpoint, CallFailed { submit->call, failure } });
    }
}

void EntryLinkClient::handleOpen(const OpenCommand& command)
{
    this->removeLink(command.endpoint);
    const ConnectionId connection = this->loop.connect(command.address, this->connectTimeout);
    this->links[command.endpoint] = Link { connection, false, Instant::max() };
    this->endpointOf[connection] = command.endpoint;
}

void EntryLinkClient::handleClose(const CloseCommand& command) { this->removeLink(command.endpoint); }

void EntryLinkClient::removeLink(const EndpointId& endpoint)
{
    const auto link = this->links.find(endpoint);
    if (link == this->links.end())
        return;
    this->loop.close(link->second.connection);
    this->endpointOf.erase(link->second.connection);
    this->links.erase(link);
}

void EntryLinkClient::dropLink(const EndpointId& endpoint, std::string_view reason)
{
    this->removeLink(endpoint);
    this->telemetry.log({ "link_down", { { "endpoint", endpoint.get() }, { "reason", std::string(reason) } } });
    this->routerWriter.push(LinkDown { endpoint });
}

void EntryLinkClient::connected(ConnectionId connection)
{
    const EndpointId endpoint = this->endpointOf.at(connection);
    this->links.at(endpoint).helloDeadline = std::chrono::steady_clock::now() + this->connectTimeout;
    const auto frame = this->frameCodec.encode(EntryMessage(EntryHello { this->self }));
    if (const auto* bytes = std::get_if<std::string>(&frame))
        this->loop.send(connection, *bytes);
}

bool EntryLinkClient::received(ConnectionId connection, std::string_view frame)
{
    const EndpointId endpoint = this->endpointOf.at(connection);
    Link& link = this->links.at(endpoint);
    auto decoded = this->frameCodec.decodeAgentMessage(frame);
    if (const auto* error = std::get_if<FrameError>(&decoded)) {
        this->dropLink(endpoint, frameErrorName(*error));
        return false;
    }
    AgentMessage& message = *std::get_if<AgentMessage>(&decoded);
    const bool isHello = std::holds_alternative<AgentHello>(message);
    if (isHello == link.up || (isHello && !this->acceptHello(endpoint, link, message))) {
        this->dropLink(endpoint, "unexpected_hello");
        return false;
    }
    this->routerWriter.push(FromAgent { endpoint, std::move(message) });
    return true;
}

bool EntryLinkClient::acceptHello(const EndpointId& endpoint, Link& link, const AgentMessage& message)
{
    const auto* hello = std::get_if<AgentHello>(&message);
    if (hello->endpoint != endpoint)
        return false;
    link.up = true;
    this->loop.setMaxMessageBytes(link.connection, maximumFrameBytes);
    this->telemetry.log({ "link_up", { { "endpoint", endpoint.get() } } });
    this->routerWriter.push(LinkUp { endpoint });
    return true;
}

void EntryLinkClient::closed(ConnectionId connection, const ConnectionClosure& closure)
{
    const auto found = this->endpointOf.find(connection);
    if (found == this->endpointOf.end())
        return;
    const EndpointId endpoint = found->second;
    this->dropLink(endpoint, closure.reason);
}

bool EntryLinkClient::canReceive() { return this->routerWriter.flush(); }

void EntryLinkClient::tick(Instant now)
{
    std::vector<EndpointId> expired;
    for (const auto& [endpoint, link] : this->links) {
        if (!link.up && now >= link.helloDeadline)
            expired.push_back(endpoint);
    }
    for (const EndpointId& endpoint : expired)
        this->dropLink(endpoint, "hello_timeout");
}

EntryLinkClientBuilder& EntryLinkClientBuilder::withSelf(EntryId id)
{
    this->self = std::move(id);
    return *this;
}

EntryLinkClientBuilder& EntryLinkClientBuilder::withRouterRing(Ring<RouterEvent>& ring)
{
    this->routerRing = &ring;
    return *this;
}

EntryLinkClientBuilder& EntryLinkClientBuilder::withCodec(const DocumentCodec& documents)
{
    this->codec = &documents;
    return *this;
}

EntryLinkClientBuilder& EntryLinkClientBuilder::withTelemetry(Telemetry& sink)
{
    this->telemetry = &sink;
    return *this;
}

EntryLinkClientBuilder& EntryLinkClientBuilder::withConnectTimeout(Milliseconds timeout)
{
    this->connectTimeout = timeout;
    return *this;
}

std::unique_ptr<EntryLinkClient> EntryLinkClientBuilder::build() const
{
    internalCheck(
        this->routerRing && this->codec && this->telemetry, "a link client needs a ring, a codec and telemetry");
    return std::make_unique<EntryLinkClient>(
        this->self, *this->routerRing, *this->codec, *this->telemetry, this->connectTimeout);
}

}
