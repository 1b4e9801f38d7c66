#include "adapters/link/AgentLinkServer.h"

#include "core/common/Check.h"

#include <array>
#include <vector>

namespace teaselfold {

namespace {

    constexpr std::size_t commandCapacity = 8192;

    /** Which duty takes a message from an entry. */
    enum class Route : std::uint8_t {
        Refused,
        Admission,
        Calls,
        Both,
    };

    /** Indexed like EntryMessage. A hello is only the first message of a link. */
    constexpr std::array routes { Route::Refused, Route::Both, Route::Admission, Route::Both, Route::Admission,
        Route::Admission, Route::Calls, Route::Both, Route::Both, Route::Both, Route::Both, Route::Both };
    static_assert(routes.size() == std::variant_size_v<EntryMessage>);

    AgentMessage unserved(const SubmitGeneration& message)
    {
        return GenerationRefused { message.generation, ErrorCode::NotFound, Milliseconds(0) };
    }

    AgentMessage unserved(const ResumeGeneration& message) { return GenerationUnknown { message.generation }; }

    AgentMessage unserved(const SubmitCall& message)
    {
        return CallFailed { message.call,
            { ErrorCode::NotFound, "no plain service is served here", Run::No, Milliseconds(0) } };
    }

    /** @return what an entry is told when the duty that would take its message does not exist here. */
    std::optional<AgentMessage> answerUnserved(const EntryMessage& message)
    {
        if (const auto* submit = std::get_if<SubmitGeneration>(&message))
            return unserved(*submit);
        if (const auto* resume = std::get_if<ResumeGeneration>(&message))
            return unserved(*resume);
        if (const auto* call = std::get_if<SubmitCall>(&message))
            return unserved(*call);
        return std::nullopt;
    }

}

AgentLinkServer::AgentLinkServer(const Parts& parts)
    : parts(parts)
    , frames(*parts.codec)
    , admission(parts.admissionRing)
    , calls(parts.callRing)
    , commands(commandCapacity)
{
    this->commands.setWaker([this] { this->loop.wake(); });
}

bool AgentLinkServer::start()
{
    if (!this->loop.listen(this->parts.address))
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
        this->overflowed.insert(entry);
    }
    this->loop.wake();
}

void AgentLinkServer::dropOverflowed()
{
    std::set<EntryId> dropped;
    {
        std::lock_guard lock(this->overflowMutex);
        dropped.swap(this->overflowed);
    }
    for (const EntryId& entry : dropped) {
        const auto found = this->connectionOf.find(entry);
        if (found != this->connectionOf.end())
            this->lose(found->second, "commands_lost");
    }
}

void AgentLinkServer::woken()
{
    this->dropOverflowed();
    while (const auto command = this->commands.tryPop())
        this->handleSend(*command);
}

void AgentLinkServer::handleSend(const SendCommand& command)
{
    const auto found = this->connectionOf.find(command.entry);
    if (found == this->connectionOf.end())
        return;
    auto frame = this->frames.encode(command.message);
    if (std::holds_alternative<FrameError>(frame)) {
        this->logLink("link_message_too_large", command.entry, "too_large");
        const auto* answer = std::get_if<CallAnswered>(&command.message);
        if (!answer)
            return;
        const Failure failure { ErrorCode::TooLarge, "the answer is too large for a link", Run::Yes, Milliseconds(0) };
        frame = this->frames.encode(AgentMessage(CallFailed { answer->call, failure }));
    }
    if (const auto* bytes = std::get_if<std::string>(&frame))
        this->loop.send(found->second, *bytes);
}

void AgentLinkServer::connected(ConnectionId connection)
{
    this->links[connection] = Link { EntryId(), std::chrono::steady_clock::now() };
    const auto frame = this->frames.encode(AgentMessage(AgentHello { this->parts.endpoint, this->parts.incarnation }));
    if (const auto* bytes = std::get_if<std::string>(&frame))
        this->loop.send(connection, *bytes);
}

bool AgentLinkServer::received(ConnectionId connection, std::string_view frame)
{
    Link& link = this->links.at(connection);
    auto decoded = this->frames.decodeEntry(frame);
    if (const auto* error = std::get_if<FrameError>(&decoded)) {
        this->lose(connection, frameErrorName(*error));
        return false;
    }
    EntryMessage& message = *std::get_if<EntryMessage>(&decoded);
    link.heardAt = std::chrono::steady_clock::now();
    if (link.entry == EntryId()) {
        if (this->acceptHello(connection, link, message))
            return true;
        this->lose(connection, "no_hello");
        return false;
    }
    if (std::holds_alternative<EntryHello>(message)) {
        this->lose(connection, "unexpected_hello");
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
    const auto older = this->connectionOf.find(hello->entry);
    if (older != this->connectionOf.end()) {
        this->loop.close(older->second);
        this->links.erase(older->second);
    }
    link.entry = hello->entry;
    this->connectionOf[hello->entry] = connection;
    this->loop.setMaxMessageBytes(connection, maximumFrameBytes);
    this->logLink("link_up", link.entry, older == this->connectionOf.end() ? "new" : "replaced");
    this->deliverBoth(EntryLinked { link.entry });
    return true;
}

void AgentLinkServer::deliver(const EntryId& entry, EntryMessage message)
{
    const Route route = routes[message.index()];
    const bool served = route == Route::Calls ? this->parts.callRing != nullptr : this->parts.admissionRing != nullptr;
    const auto answer = served ? std::nullopt : answerUnserved(message);
    if (answer)
        return this->handleSend({ entry, *answer });
    if (route == Route::Both)
        return this->deliverBoth(FromEntry { entry, std::move(message) });
    EventOutlet<AgentEvent>& outlet = route == Route::Calls ? this->calls : this->admission;
    outlet.push(FromEntry { entry, std::move(message) });
}

void AgentLinkServer::deliverBoth(const AgentEvent& event)
{
    this->admission.push(event);
    this->calls.push(event);
}

void AgentLinkServer::lose(ConnectionId connection, std::string_view reason)
{
    this->loop.close(connection);
    this->closed(connection, reason);
}

void AgentLinkServer::closed(ConnectionId connection, std::string_view reason)
{
    const auto found = this->links.find(connection);
    if (found == this->links.end())
        return;
    const EntryId entry = found->second.entry;
    this->links.erase(found);
    this->logLink("link_down", entry, reason);
    if (entry == EntryId())
        return;
    this->connectionOf.erase(entry);
    this->deliverBoth(EntryUnlinked { entry });
}

bool AgentLinkServer::canReceive()
{
    const bool admissionHasRoom = this->admission.flush();
    const bool callsHaveRoom = this->calls.flush();
    return admissionHasRoom && callsHaveRoom;
}

void AgentLinkServer::tick(Instant now)
{
    // While a ring is full the loop does not read, so that silence means nothing.
    if (!this->canReceive()) {
        for (auto& [connection, link] : this->links)
            link.heardAt = now;
        return;
    }
    std::vector<ConnectionId> silent;
    for (const auto& [connection, link] : this->links) {
        if (now - link.heardAt >= this->parts.idleLimit)
            silent.push_back(connection);
    }
    for (const ConnectionId connection : silent)
        this->lose(connection, "idle");
}

void AgentLinkServer::logLink(std::string name, const EntryId& entry, std::string_view reason)
{
    this->parts.telemetry->log({ std::move(name),
        { { "endpoint", this->parts.endpoint.get() }, { "entry", entry.get() }, { "reason", std::string(reason) } } });
}

AgentLinkServerBuilder& AgentLinkServerBuilder::withAddress(Address address)
{
    this->parts.address = std::move(address);
    return *this;
}

AgentLinkServerBuilder& AgentLinkServerBuilder::withEndpoint(EndpointId endpoint)
{
    this->parts.endpoint = std::move(endpoint);
    return *this;
}

AgentLinkServerBuilder& AgentLinkServerBuilder::withIncarnation(Incarnation incarnation)
{
    this->parts.incarnation = incarnation;
    return *this;
}

AgentLinkServerBuilder& AgentLinkServerBuilder::withAdmissionRing(Ring<AgentEvent>& ring)
{
    this->parts.admissionRing = &ring;
    return *this;
}

AgentLinkServerBuilder& AgentLinkServerBuilder::withCallRing(Ring<AgentEvent>& ring)
{
    this->parts.callRing = &ring;
    return *this;
}

AgentLinkServerBuilder& AgentLinkServerBuilder::withCodec(const DocumentCodec& codec)
{
    this->parts.codec = &codec;
    return *this;
}

AgentLinkServerBuilder& AgentLinkServerBuilder::withTelemetry(Telemetry& telemetry)
{
    this->parts.telemetry = &telemetry;
    return *this;
}

AgentLinkServerBuilder& AgentLinkServerBuilder::withIdleLimit(Milliseconds limit)
{
    this->parts.idleLimit = limit;
    return *this;
}

std::unique_ptr<AgentLinkServer> AgentLinkServerBuilder::build() const
{
    internalCheck(this->parts.codec && this->parts.telemetry, "a link server has a codec and telemetry");
    return std::make_unique<AgentLinkServer>(this->parts);
}

}
