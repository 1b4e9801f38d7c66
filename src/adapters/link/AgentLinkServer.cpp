#include "adapters/link/AgentLinkServer.h"

#include "core/common/Check.h"

#include <array>
#include <vector>

namespace teaselfold {

namespace {

    constexpr std::size_t commandCapacity = 8192;
    /** Limit on connections that have not sent a hello; entries send theirs at once. */
    constexpr std::size_t maxUnknownLinks = 64;

    /** The duties that handle a message from an entry. */
    enum class Route : std::uint8_t {
        Refused,
        Admission,
        Calls,
        Both,
    };

    /** Indexed by the alternative of EntryMessage. A hello is valid only as the first message of a link. */
    constexpr std::array routes { Route::Refused, Route::Both, Route::Admission, Route::Both, Route::Admission,
        Route::Admission, Route::Calls, Route::Both, Route::Both, Route::Both, Route::Both, Route::Both };
    static_assert(routes.size() == std::variant_size_v<EntryMessage>);

    AgentMessage rejectionOf(const SubmitGeneration& message)
    {
        return GenerationRefused { message.generation, ErrorCode::NotFound, Milliseconds(0) };
    }

    AgentMessage rejectionOf(const ResumeGeneration& message) { return GenerationUnknown { message.generation }; }

    AgentMessage rejectionOf(const SubmitCall& message)
    {
        return CallFailed { message.call,
            { ErrorCode::NotFound, "no plain service is served here", Executed::No, Milliseconds(0) } };
    }

    /** @return the reply to a request whose duty does not run here; nothing for messages that need no reply. */
    std::optional<AgentMessage> rejectionWhenUnserved(const EntryMessage& message)
    {
        if (const auto* submit = std::get_if<SubmitGeneration>(&message))
            return rejectionOf(*submit);
        if (const auto* resume = std::get_if<ResumeGeneration>(&message))
            return rejectionOf(*resume);
        if (const auto* call = std::get_if<SubmitCall>(&message))
            return rejectionOf(*call);
        return std::nullopt;
    }

}

AgentLinkServer::AgentLinkServer(const Options& options)
    : options(options)
    , frameCodec(*options.codec)
    , admissionWriter(options.admissionRing)
    , callWriter(options.callRing)
    , commands(commandCapacity)
{
    this->commands.setWaker([this] { this->loop.wake(); });
}

bool AgentLinkServer::start()
{
    if (!this->loop.listen(this->options.address))
        return false;
    this->loop.start(*this);
    return true;
}

void AgentLinkServer::stop()
{
    this->commands.close();
    this->loop.stop();
}

void AgentLinkServer::send(const EntryId& entry, const AgentMessage& message)
{
    if (this->commands.tryPush(SendCommand { entry, message }))
        return;
    {
        std::lock_guard lock(this->overflowMutex);
        this->overflowedEntries.insert(entry);
    }
    this->loop.wake();
}

void AgentLinkServer::dropOverflowedLinks()
{
    std::set<EntryId> dropped;
    {
        std::lock_guard lock(this->overflowMutex);
        dropped.swap(this->overflowedEntries);
    }
    for (const EntryId& entry : dropped) {
        const auto found = this->connectionOf.find(entry);
        if (found != this->connectionOf.end())
            this->dropLink(found->second, "commands_lost");
    }
}

void AgentLinkServer::woken()
{
    this->dropOverflowedLinks();
    while (const auto command = this->commands.tryPop())
        this->handleSend(*command);
}

void AgentLinkServer::handleSend(const SendCommand& command)
{
    const auto found = this->connectionOf.find(command.entry);
    if (found == this->connectionOf.end())
        return;
    auto frame = this->frameCodec.encode(command.message);
    if (std::holds_alternative<FrameError>(frame)) {
        this->logLinkEvent("link_message_too_large", command.entry, "too_large");
        const auto* answer = std::get_if<CallAnswered>(&command.message);
        if (!answer)
            return;
        const Failure failure { ErrorCode::TooLarge, "the answer is too large for a link", Executed::Yes,
            Milliseconds(0) };
        frame = this->frameCodec.encode(AgentMessage(CallFailed { answer->call, failure }));
    }
    if (const auto* bytes = std::get_if<std::string>(&frame))
        this->loop.send(found->second, *bytes);
}

void AgentLinkServer::connected(ConnectionId connection)
{
    this->links[connection] = Link { EntryId(), std::chrono::steady_clock::now() };
    this->unknownLinks.insert(connection);
    // Ids grow, so that the first connection is the oldest.
    if (this->unknownLinks.size() > maxUnknownLinks)
        this->dropLink(*this->unknownLinks.begin(), "too_many_without_hello");
    const auto frame
        = this->frameCodec.encode(AgentMessage(AgentHello { this->options.endpoint, this->options.incarnation }));
    if (const auto* bytes = std::get_if<std::string>(&frame))
        this->loop.send(connection, *bytes);
}

bool AgentLinkServer::received(ConnectionId connection, std::string_view frame)
{
    Link& link = this->links.at(connection);
    auto decoded = this->frameCodec.decodeEntryMessage(frame);
    if (const auto* error = std::get_if<FrameError>(&decoded)) {
        this->dropLink(connection, frameErrorName(*error));
        return false;
    }
    EntryMessage& message = *std::get_if<EntryMessage>(&decoded);
    link.lastReceivedAt = std::chrono::steady_clock::now();
    if (link.entry == EntryId()) {
        if (this->acceptHello(connection, link, message))
            return true;
        this->dropLink(connection, "no_hello");
        return false;
    }
    if (std::holds_alternative<EntryHello>(message)) {
        this->dropLink(connection, "unexpected_hello");
        return false;
    }
    this->deliver(link.entry, std::move(message));
    return true;
}

bool AgentLinkServer::acceptHello(ConnectionId connection, Link& link, const EntryMessage& message)
{
    const auto* hello = std::get_if<EntryHello>(&message);
    if (!hello || hello->entry == EntryId())
        return false;
    const auto previous = this->connectionOf.find(hello->entry);
    if (previous != this->connectionOf.end()) {
        this->loop.close(previous->second);
        this->links.erase(previous->second);
    }
    link.entry = hello->entry;
    this->unknownLinks.erase(connection);
    this->connectionOf[hello->entry] = connection;
    this->loop.setMaxMessageBytes(connection, maximumFrameBytes);
    this->logLinkEvent("link_up", link.entry, previous == this->connectionOf.end() ? "new" : "replaced");
    this->deliverToBoth(EntryLinkUp { link.entry });
    return true;
}

void AgentLinkServer::deliver(const EntryId& entry, EntryMessage message)
{
    const Route route = routes[message.index()];
    const bool served
        = route == Route::Calls ? this->options.callRing != nullptr : this->options.admissionRing != nullptr;
    const auto answer = served ? std::nullopt : rejectionWhenUnserved(message);
    if (answer)
        return this->handleSend({ entry, *answer });
    if (route == Route::Both)
        return this->deliverToBoth(FromEntry { entry, std::move(message) });
    BufferedRingWriter<AgentEvent>& writer = route == Route::Calls ? this->callWriter : this->admissionWriter;
    writer.push(FromEntry { entry, std::move(message) });
}

void AgentLinkServer::deliverToBoth(const AgentEvent& event)
{
    this->admissionWriter.push(event);
    this->callWriter.push(event);
}

void AgentLinkServer::dropLink(ConnectionId connection, std::string_view reason)
{
    this->loop.close(connection);
    this->closed(connection, ConnectionClosure { reason });
}

void AgentLinkServer::closed(ConnectionId connection, const ConnectionClosure& closure)
{
    const auto found = this->links.find(connection);
    if (found == this->links.end())
        return;
    const EntryId entry = found->second.entry;
    this->links.erase(found);
    this->unknownLinks.erase(connection);
    this->logLinkEvent("link_down", entry, closure.reason);
    if (entry == EntryId())
        return;
    this->connectionOf.erase(entry);
    this->deliverToBoth(EntryLinkDown { entry });
}

bool AgentLinkServer::canReceive()
{
    const bool admissionFlushed = this->admissionWriter.flush();
    const bool callsFlushed = this->callWriter.flush();
    return admissionFlushed && callsFlushed;
}

void AgentLinkServer::tick(Instant now)
{
    // While a ring is full the loop does not read, so a link without frames is not idle.
    if (!this->canReceive()) {
        for (auto& [connection, link] : this->links)
            link.lastReceivedAt = now;
        return;
    }
    std::vector<ConnectionId> idleConnections;
    for (const auto& [connection, link] : this->links) {
        if (now - link.lastReceivedAt >= this->options.idleTimeout)
            idleConnections.push_back(connection);
    }
    for (const ConnectionId connection : idleConnections)
        this->dropLink(connection, "idle");
}

void AgentLinkServer::logLinkEvent(std::string name, const EntryId& entry, std::string_view reason)
{
    this->options.telemetry->log({ std::move(name),
        { { "endpoint", this->options.endpoint.get() }, { "entry", entry.get() },
            { "reason", std::string(reason) } } });
}

AgentLinkServerBuilder& AgentLinkServerBuilder::withAddress(Address address)
{
    this->options.address = std::move(address);
    return *this;
}

AgentLinkServerBuilder& AgentLinkServerBuilder::withEndpoint(EndpointId endpoint)
{
    this->options.endpoint = std::move(endpoint);
    return *this;
}

AgentLinkServerBuilder& AgentLinkServerBuilder::withIncarnation(Incarnation incarnation)
{
    this->options.incarnation = incarnation;
    return *this;
}

AgentLinkServerBuilder& AgentLinkServerBuilder::withAdmissionRing(Ring<AgentEvent>& ring)
{
    this->options.admissionRing = &ring;
    return *this;
}

AgentLinkServerBuilder& AgentLinkServerBuilder::withCallRing(Ring<AgentEvent>& ring)
{
    this->options.callRing = &ring;
    return *this;
}

AgentLinkServerBuilder& AgentLinkServerBuilder::withCodec(const DocumentCodec& codec)
{
    this->options.codec = &codec;
    return *this;
}

AgentLinkServerBuilder& AgentLinkServerBuilder::withTelemetry(Telemetry& telemetry)
{
    this->options.telemetry = &telemetry;
    return *this;
}

AgentLinkServerBuilder& AgentLinkServerBuilder::withIdleTimeout(Milliseconds timeout)
{
    this->options.idleTimeout = timeout;
    return *this;
}

std::unique_ptr<AgentLinkServer> AgentLinkServerBuilder::build() const
{
    internalCheck(this->options.codec && this->options.telemetry, "a link server needs a codec and telemetry");
    return std::make_unique<AgentLinkServer>(this->options);
}

}
