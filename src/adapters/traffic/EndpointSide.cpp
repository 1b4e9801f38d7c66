#include "adapters/traffic/EndpointSide.h"

#include <algorithm>
#include <charconv>

namespace teaselfold {

namespace {

    constexpr std::size_t maximumHeadBytes = 65536;
    /** Largest answer that is kept whole before it goes on. */
    constexpr std::size_t maximumBodyBytes = std::size_t { 8 } * 1024 * 1024;
    /** Bytes of a stream that may wait for a slow caller before its engine is not read any more. */
    constexpr std::size_t maximumQueuedBytes = 262144;
    /** Idle connections kept to one endpoint. */
    constexpr std::size_t maximumIdle = 4;
    /** Time for which a connection is kept when the endpoint states no limit of its own. */
    constexpr Milliseconds defaultIdleTime(2000);
    /** Closing before the endpoint does, so that no request meets the close. */
    constexpr Milliseconds idleMargin(500);
    /** Longest time for a copy of a run's memory; an engine that leaves is gone by then. */
    constexpr Milliseconds moveTimeout(3000);
    constexpr std::uint16_t firstFinalStatus = 200;
    constexpr std::uint16_t firstRedirection = 300;

    /** @return how long the endpoint keeps the connection open. */
    Milliseconds idleTimeOf(const ResponseHead& head)
    {
        const std::string* field = findField(head.fields, "keep-alive");
        const std::size_t at = field ? field->find("timeout=") : std::string::npos;
        if (at == std::string::npos)
            return defaultIdleTime;
        const std::string_view number = std::string_view(*field).substr(at + std::string_view("timeout=").size());
        std::uint32_t seconds = 0;
        std::from_chars(number.data(), number.data() + number.size(), seconds);
        const Milliseconds stated = Seconds(seconds);
        return stated > idleMargin ? std::min(stated - idleMargin, defaultIdleTime) : Milliseconds(0);
    }

    bool keepsOpen(const ResponseHead& head)
    {
        const std::string* connection = findField(head.fields, "connection");
        return !connection || !listHasToken(*connection, "close");
    }

    bool isEventStream(const ResponseHead& head)
    {
        const std::string* type = findField(head.fields, "content-type");
        return head.status < firstRedirection && type && type->starts_with("text/event-stream");
    }

}

ConnectionId EndpointSide::takeIdle(const EndpointId& endpoint, const Address& address)
{
    auto& pool = this->idle[endpoint];
    while (!pool.empty()) {
        const ConnectionId connection = *pool.rbegin();
        pool.erase(connection);
        const Channel& channel = this->channels.at(connection);
        if (channel.address == address && channel.idleUntil > this->context.now)
            return connection;
        this->forget(connection);
    }
    return this->context.loop.connect(address, this->connectTimeout);
}

void EndpointSide::start(const ExchangeParameters& parameters)
{
    const ConnectionId connection = this->takeIdle(parameters.endpoint, parameters.address);
    const bool isNew = !this->channels.contains(connection);
    Channel& channel = this->channels[connection];
    channel.endpoint = parameters.endpoint;
    channel.address = parameters.address;
    channel.parameters = parameters;
    channel.orderedAt = this->context.now;
    this->byExchange[parameters.exchange] = connection;
    if (!isNew)
        this->send(connection, channel);
}

void EndpointSide::startMove(const StartMigration& move)
{
    const ConnectionId connection = this->context.loop.connect(move.source, this->connectTimeout);
    Channel& channel = this->channels[connection];
    channel.address = move.source;
    channel.move = move;
    channel.isReusable = false;
    channel.orderedAt = this->context.now;
}

void EndpointSide::connected(ConnectionId connection)
{
    const auto found = this->channels.find(connection);
    if (found == this->channels.end())
        return;
    // After a suspension of this machine the order may rest on old knowledge.
    if (this->context.now - found->second.orderedAt > this->connectTimeout)
        return this->fail(connection, ExchangeEnd::NotConnected);
    this->send(connection, found->second);
}

void EndpointSide::send(ConnectionId connection, Channel& channel)
{
    channel.phase = Phase::Busy;
    if (channel.move) {
        EngineCall call = this->context.codec.writeMigrationCall(*channel.move);
        call.head.fields.push_back({ "Content-Length", std::to_string(call.body.size()) });
        this->context.loop.send(connection, printHead(call.head) + call.body);
        return;
    }
    const CallerRequest* request = this->callers.find(channel.parameters.request);
    if (!request)
        return this->fail(connection, ExchangeEnd::NotConnected);
    channel.callerRequestId = request->callerRequestId;
    ExchangeParameters parameters = channel.parameters;
    parameters.timeLeft -= std::chrono::duration_cast<Milliseconds>(this->context.now - channel.orderedAt);
    RequestHead received = request->head;
    const bool hadFraming
        = findField(received.fields, "content-length") || findField(received.fields, "transfer-encoding");
    removeHopFields(received.fields);
    removeField(received.fields, "expect");
    RequestHead head = this->context.codec.writeRequest(received, parameters);
    if (hadFraming || !request->body->empty())
        head.fields.push_back({ "Content-Length", std::to_string(request->body->size()) });
    this->context.loop.send(connection, printHead(head));
    this->context.loop.send(connection, *request->body);
}

void EndpointSide::received(ConnectionId connection, std::string_view bytes)
{
    const auto found = this->channels.find(connection);
    if (found == this->channels.end())
        return;
    Channel& channel = found->second;
    if (channel.phase != Phase::Busy)
        return this->forget(connection);
    channel.inbound.append(bytes);
    while (this->readSome(connection, channel)) { }
}

bool EndpointSide::readHead(ConnectionId connection, Channel& channel)
{
    auto read = parseAnswerHead(channel.inbound, maximumHeadBytes);
    if (std::holds_alternative<HeadIncomplete>(read))
        return false;
    if (std::holds_alternative<HeadFault>(read)) {
        this->fail(connection, ExchangeEnd::Broken);
        return false;
    }
    auto& parsed = *std::get_if<ParsedHead<ResponseHead>>(&read);
    channel.inbound.erase(0, parsed.bytes);
    if (parsed.head.status < firstFinalStatus)
        return true;
    auto framing = answerFraming(parsed.head);
    if (std::holds_alternative<HeadFault>(framing)) {
        this->fail(connection, ExchangeEnd::Broken);
        return false;
    }
    const CallerRequest* request = channel.move ? nullptr : this->callers.find(channel.parameters.request);
    if (request && request->head.method == "HEAD")
        framing = BodyFraming {};
    channel.head = std::move(parsed.head);
    channel.decoder.emplace(*std::get_if<BodyFraming>(&framing));
    channel.isReusable = channel.isReusable && keepsOpen(*channel.head)
        && std::get_if<BodyFraming>(&framing)->kind != BodyKind::UntilClose;
    this->headComplete(connection, channel);
    return true;
}

void EndpointSide::headComplete(ConnectionId, Channel& channel)
{
    if (channel.move)
        return;
    const std::string answered = this->context.codec.responseRequestId(*channel.head);
    channel.isForeign = !answered.empty() && answered != channel.callerRequestId;
    if (channel.isForeign) {
        channel.isReusable = false;
        return;
    }
    channel.isStream = isEventStream(*channel.head);
    if (!channel.isStream)
        return;
    std::optional<std::uint64_t> lastEvent;
    if (channel.parameters.resume)
        lastEvent = channel.parameters.resume->lastEventId;
    channel.events.emplace(lastEvent);
    ResponseSummary summary = this->context.codec.readResponse(*channel.head);
    summary.isStream = true;
    this->context.events.emplace_back(ResponseReceived { channel.parameters.exchange, summary });
}

bool EndpointSide::readSome(ConnectionId connection, Channel& channel)
{
    if (!channel.head)
        return !channel.inbound.empty() && this->readHead(connection, channel);
    const std::size_t used = channel.decoder->feed(channel.inbound, channel.body);
    channel.inbound.erase(0, used);
    if (channel.decoder->isBroken() || channel.body.size() > maximumBodyBytes) {
        this->fail(connection, ExchangeEnd::Broken);
        return false;
    }
    if (channel.isRelaying)
        this->forwardEvents(connection, channel);
    if (!this->channels.contains(connection) || !channel.decoder->isDone())
        return false;
    return this->answerComplete(connection, channel);
}

bool EndpointSide::answerComplete(ConnectionId connection, Channel& channel)
{
    if (channel.isForeign) {
        channel.head.reset();
        channel.body.clear();
        return true;
    }
    if (channel.move) {
        this->context.events.emplace_back(
            this->context.codec.readMigrationResponse(channel.move->exchange, channel.head->status, channel.body));
        this->forget(connection);
        return false;
    }
    if (channel.isStream) {
        if (!channel.isRelaying)
            return false;
        const bool whole = !channel.events->isInsideEvent() && !channel.events->hasGap();
        if (!whole) {
            this->fail(connection, ExchangeEnd::Broken);
            return false;
        }
        this->callers.complete(channel.parameters.request);
        this->context.events.emplace_back(ExchangeEnded { channel.parameters.exchange, ExchangeEnd::Complete });
        this->release(connection, channel);
        return false;
    }
    this->context.events.emplace_back(
        ResponseReceived { channel.parameters.exchange, this->context.codec.readResponse(*channel.head) });
    return false;
}

ResponseHead EndpointSide::relayedHead(const Channel& channel) const
{
    ResponseHead head = *channel.head;
    removeHopFields(head.fields);
    return head;
}

void EndpointSide::relay(ExchangeId exchange)
{
    const auto found = this->byExchange.find(exchange);
    if (found == this->byExchange.end())
        return;
    const ConnectionId connection = found->second;
    Channel& channel = this->channels.at(connection);
    const RequestId request = channel.parameters.request;
    if (channel.isStream) {
        this->callers.begin(request, this->relayedHead(channel), std::nullopt);
        channel.isRelaying = true;
        this->forwardEvents(connection, channel);
        if (this->channels.contains(connection) && channel.decoder->isDone())
            this->answerComplete(connection, channel);
        return;
    }
    this->callers.begin(request, this->relayedHead(channel), channel.body.size());
    this->callers.write(request, channel.body);
    this->callers.complete(request);
    this->context.events.emplace_back(ExchangeEnded { exchange, ExchangeEnd::Complete });
    this->release(connection, channel);
}

void EndpointSide::forwardEvents(ConnectionId connection, Channel& channel)
{
    const std::string whole = channel.events->feed(channel.body);
    channel.body.clear();
    const RequestId request = channel.parameters.request;
    if (!whole.empty()) {
        this->callers.write(request, whole);
        this->context.events.emplace_back(
            EventsRelayed { channel.parameters.exchange, channel.events->lastId().value_or(0) });
    }
    if (channel.events->hasGap())
        return this->fail(connection, ExchangeEnd::Broken);
    if (this->callers.queuedBytes(request) > maximumQueuedBytes) {
        this->heldFor[this->callers.find(request)->connection] = connection;
        this->context.loop.setReading(connection, false);
    }
}

void EndpointSide::callerDrained(ConnectionId caller)
{
    const auto held = this->heldFor.find(caller);
    if (held == this->heldFor.end())
        return;
    this->context.loop.setReading(held->second, true);
    this->heldFor.erase(held);
}

void EndpointSide::release(ConnectionId connection, Channel& channel)
{
    this->byExchange.erase(channel.parameters.exchange);
    const bool sentWhole = this->context.loop.queuedBytes(connection) == 0;
    const Milliseconds idleTime = idleTimeOf(*channel.head);
    auto& pool = this->idle[channel.endpoint];
    const bool keep = channel.isReusable && sentWhole && channel.inbound.empty() && idleTime > Milliseconds(0)
        && pool.size() < maximumIdle;
    if (!keep)
        return this->forget(connection);
    Channel rested;
    rested.phase = Phase::Idle;
    rested.endpoint = channel.endpoint;
    rested.address = channel.address;
    rested.idleUntil = this->context.now + idleTime;
    pool.insert(connection);
    channel = std::move(rested);
}

void EndpointSide::cancel(ExchangeId exchange)
{
    const auto found = this->byExchange.find(exchange);
    if (found != this->byExchange.end())
        this->forget(found->second);
}

void EndpointSide::forget(ConnectionId connection)
{
    const auto found = this->channels.find(connection);
    if (found == this->channels.end())
        return;
    const Channel& channel = found->second;
    this->idle[channel.endpoint].erase(connection);
    const auto exchange = this->byExchange.find(channel.parameters.exchange);
    if (exchange != this->byExchange.end() && exchange->second == connection)
        this->byExchange.erase(exchange);
    std::erase_if(this->heldFor, [&](const auto& entry) { return entry.second == connection; });
    this->channels.erase(found);
    this->context.loop.close(connection);
}

void EndpointSide::fail(ConnectionId connection, ExchangeEnd end)
{
    const auto found = this->channels.find(connection);
    if (found == this->channels.end())
        return;
    const Channel& channel = found->second;
    if (channel.move)
        this->context.events.emplace_back(
            MigrationResponseReceived { channel.move->exchange, MigrationOutcome::Failed, {} });
    else if (channel.phase != Phase::Idle)
        this->context.events.emplace_back(ExchangeEnded { channel.parameters.exchange, end });
    this->forget(connection);
}

void EndpointSide::closed(ConnectionId connection, bool inOrder)
{
    const auto found = this->channels.find(connection);
    if (found == this->channels.end())
        return;
    Channel& channel = found->second;
    if (channel.phase == Phase::Connecting)
        return this->fail(connection, ExchangeEnd::NotConnected);
    if (channel.phase == Phase::Busy && inOrder && channel.decoder && !channel.isForeign) {
        const bool wasDone = channel.decoder->isDone();
        channel.decoder->end();
        if (!wasDone && channel.decoder->isDone()) {
            channel.isReusable = false;
            this->answerComplete(connection, channel);
            return;
        }
        // The whole answer waits for the decision on it.
        if (wasDone) {
            channel.isReusable = false;
            return;
        }
    }
    this->fail(connection, ExchangeEnd::Broken);
}

void EndpointSide::tick()
{
    std::vector<ConnectionId> old;
    for (const auto& [endpoint, pool] : this->idle) {
        for (const ConnectionId connection : pool) {
            if (this->channels.at(connection).idleUntil <= this->context.now)
                old.push_back(connection);
        }
    }
    for (const ConnectionId connection : old)
        this->forget(connection);
    std::erase_if(this->idle, [](const auto& entry) { return entry.second.empty(); });
    this->endLateMoves();
}

void EndpointSide::endLateMoves()
{
    std::vector<ConnectionId> late;
    for (const auto& [connection, channel] : this->channels) {
        if (channel.move && this->context.now - channel.orderedAt > moveTimeout)
            late.push_back(connection);
    }
    for (const ConnectionId connection : late)
        this->fail(connection, ExchangeEnd::Broken);
}

}
