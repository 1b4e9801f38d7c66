#include "adapters/traffic/EndpointConnections.h"

#include "ports/HttpStatus.h"

#include <algorithm>
#include <charconv>

namespace teaselfold {

namespace {

    constexpr std::size_t maxHeadBytes = 65536;
    /** Largest response buffered in full before it is relayed. */
    constexpr std::size_t maxBufferedBodyBytes = std::size_t { 8 } * 1024 * 1024;
    /** Largest response to a call that moves a run; it holds a handle and a number. */
    constexpr std::size_t maxMigrationBodyBytes = 65536;
    /** Bytes queued for a stream's caller above which reading from the engine pauses. */
    constexpr std::size_t maxQueuedStreamBytes = 262144;
    /** Limit on interim responses and responses to earlier requests before the response to a request. */
    constexpr std::size_t maxDiscardedHeads = 16;
    constexpr std::size_t maxIdlePerEndpoint = 4;
    /** Smaller parts of a response do not count as memory held for its caller. */
    constexpr std::size_t noticeableBufferBytes = 16384;
    /** Longest time for which an idle connection is pooled; also the default when the endpoint states no limit. */
    constexpr Milliseconds maxKeepAlive(2000);
    /** Idle connections close this long before the endpoint's limit, so that no request races with its close. */
    constexpr Milliseconds keepAliveMargin(500);
    /** Longest time for copying a run's KV cache; a terminating engine is gone by then. */
    constexpr Milliseconds migrationTimeout(3000);
    constexpr std::uint16_t switchingProtocols = 101;
    constexpr std::uint16_t firstRedirectionStatus = 300;

    /** @return the time for which an idle connection may be pooled; zero when it must not be reused. */
    Milliseconds keepAliveTime(const ResponseHead& head)
    {
        const std::string* field = findField(head.fields, "keep-alive");
        const std::size_t at = field ? field->find("timeout=") : std::string::npos;
        if (at == std::string::npos)
            return maxKeepAlive;
        const std::string_view number = std::string_view(*field).substr(at + std::string_view("timeout=").size());
        std::uint32_t seconds = 0;
        std::from_chars(number.data(), number.data() + number.size(), seconds);
        const Milliseconds stated = Seconds(seconds);
        return stated > keepAliveMargin ? std::min(stated - keepAliveMargin, maxKeepAlive) : Milliseconds(0);
    }

    bool allowsKeepAlive(const ResponseHead& head)
    {
        const std::string* connection = findField(head.fields, "connection");
        return !connection || !listHasToken(*connection, "close");
    }

    bool isEventStream(const ResponseHead& head)
    {
        const std::string* type = findField(head.fields, "content-type");
        return head.status < firstRedirectionStatus && type && type->starts_with("text/event-stream");
    }

}

ConnectionId EndpointConnections::acquireConnection(const EndpointId& endpoint, const Address& address)
{
    auto& pool = this->idleConnections[endpoint];
    while (!pool.empty()) {
        const ConnectionId connection = *pool.rbegin();
        pool.erase(connection);
        const Channel& channel = this->channels.at(connection);
        if (channel.address == address && channel.idleUntil > this->context.now)
            return connection;
        this->discard(connection);
    }
    return this->context.loop.connect(address, this->connectTimeout);
}

void EndpointConnections::startExchange(const ExchangeParameters& parameters)
{
    const CallerRequest* request = this->callers.find(parameters.request);
    const bool canReuse = request && !request->callerRequestId.empty();
    const ConnectionId connection = canReuse ? this->acquireConnection(parameters.endpoint, parameters.address)
                                             : this->context.loop.connect(parameters.address, this->connectTimeout);
    const bool isNew = !this->channels.contains(connection);
    Channel& channel = this->channels[connection];
    channel.isReused = !isNew;
    channel.endpoint = parameters.endpoint;
    channel.address = parameters.address;
    channel.parameters = parameters;
    channel.startedAt = this->context.now;
    this->connectionsByExchange[parameters.exchange] = connection;
    if (!isNew)
        this->send(connection, channel);
}

void EndpointConnections::startMigration(const StartMigration& migration)
{
    const ConnectionId connection = this->context.loop.connect(migration.source, this->connectTimeout);
    Channel& channel = this->channels[connection];
    channel.address = migration.source;
    channel.migration = migration;
    channel.isReusable = false;
    channel.startedAt = this->context.now;
}

void EndpointConnections::probe(const ProbeEndpoint& probe)
{
    const ConnectionId connection = this->context.loop.connect(probe.address, this->connectTimeout);
    Channel& channel = this->channels[connection];
    channel.endpoint = probe.endpoint;
    channel.address = probe.address;
    channel.isProbe = true;
    channel.isReusable = false;
    channel.startedAt = this->context.now;
}

void EndpointConnections::endProbe(ConnectionId connection, ProbeOutcome outcome)
{
    this->context.events.emplace_back(EndpointProbed { this->channels.at(connection).endpoint, outcome });
    this->discard(connection);
}

void EndpointConnections::connected(ConnectionId connection)
{
    const auto found = this->channels.find(connection);
    if (found == this->channels.end())
        return;
    if (found->second.isProbe)
        return this->endProbe(connection, ProbeOutcome::Accepted);
    // After a suspension of this machine, the decision behind this exchange may be based on outdated state.
    if (this->context.now - found->second.startedAt > this->connectTimeout)
        return this->fail(connection, ExchangeEnd::NotConnected);
    this->send(connection, found->second);
}

void EndpointConnections::send(ConnectionId connection, Channel& channel)
{
    channel.phase = Phase::Busy;
    if (channel.migration) {
        EngineCall call = this->context.codec.writeMigrationCall(*channel.migration);
        call.head.fields.push_back({ "Content-Length", std::to_string(call.body.size()) });
        this->context.loop.send(connection, serializeHead(call.head) + call.body);
        return;
    }
    const CallerRequest* request = this->callers.find(channel.parameters.request);
    if (!request)
        return this->fail(connection, ExchangeEnd::NotConnected);
    channel.callerRequestId = request->callerRequestId;
    ExchangeParameters parameters = channel.parameters;
    parameters.timeLeft -= std::chrono::duration_cast<Milliseconds>(this->context.now - channel.startedAt);
    RequestHead received = request->head;
    const bool hadFraming
        = findField(received.fields, "content-length") || findField(received.fields, "transfer-encoding");
    removeHopByHopFields(received.fields);
    removeField(received.fields, "expect");
    RequestHead head = this->context.codec.writeRequest(received, parameters);
    if (hadFraming || !request->body->empty())
        head.fields.push_back({ "Content-Length", std::to_string(request->body->size()) });
    this->context.loop.send(connection, serializeHead(head));
    this->context.loop.send(connection, *request->body);
}

void EndpointConnections::received(ConnectionId connection, std::string_view bytes)
{
    const auto found = this->channels.find(connection);
    if (found == this->channels.end())
        return;
    Channel& channel = found->second;
    if (channel.phase != Phase::Busy)
        return this->discard(connection);
    channel.inbound.append(bytes);
    while (this->processInbound(connection, channel)) { }
    this->recordBuffered(connection);
    this->keepWithinMemory();
}

void EndpointConnections::recordBuffered(ConnectionId connection)
{
    const auto found = this->channels.find(connection);
    if (found == this->channels.end() || found->second.phase != Phase::Busy)
        return;
    Channel& channel = found->second;
    const std::size_t bytes
        = channel.inbound.size() + channel.body.size() + (channel.events ? channel.events->pendingBytes() : 0);
    this->budget.record(connection, bytes);
    const bool isNoticeable = bytes >= noticeableBufferBytes;
    if (!channel.migration && (isNoticeable || channel.isCharged))
        this->callers.setBufferedResponse(channel.parameters.request, bytes);
    channel.isCharged = isNoticeable;
}

void EndpointConnections::keepWithinMemory()
{
    while (const auto connection = this->budget.excess()) {
        const std::size_t heldBytes = this->budget.heldBytes();
        this->context.events.emplace_back(ResponseShed { this->channels.at(*connection).endpoint, heldBytes });
        this->fail(*connection, ExchangeEnd::Spoiled);
    }
}

bool EndpointConnections::readHead(ConnectionId connection, Channel& channel)
{
    auto read = parseResponseHead(channel.inbound, maxHeadBytes);
    if (std::holds_alternative<HeadIncomplete>(read))
        return false;
    if (std::holds_alternative<HeadFault>(read)) {
        this->fail(connection, ExchangeEnd::Spoiled);
        return false;
    }
    auto& parsed = *std::get_if<ParsedHead<ResponseHead>>(&read);
    channel.inbound.erase(0, parsed.bytes);
    if (!isFinalHttpStatus(parsed.head.status)) {
        // No request asks for another protocol, and what follows is in one.
        const bool isAllowed
            = parsed.head.status != switchingProtocols && ++channel.discardedHeads <= maxDiscardedHeads;
        if (!isAllowed)
            this->fail(connection, ExchangeEnd::Spoiled);
        return isAllowed;
    }
    auto framing = responseFraming(parsed.head);
    if (std::holds_alternative<HeadFault>(framing)) {
        this->fail(connection, ExchangeEnd::Spoiled);
        return false;
    }
    const CallerRequest* request = channel.migration ? nullptr : this->callers.find(channel.parameters.request);
    if (request && request->head.method == "HEAD")
        framing = BodyFraming {};
    channel.head = std::move(parsed.head);
    channel.decoder.emplace(*std::get_if<BodyFraming>(&framing));
    channel.isReusable = channel.isReusable && allowsKeepAlive(*channel.head)
        && std::get_if<BodyFraming>(&framing)->kind != BodyKind::UntilClose;
    this->handleResponseHead(connection, channel);
    return true;
}

void EndpointConnections::handleResponseHead(ConnectionId, Channel& channel)
{
    if (channel.migration)
        return;
    const std::string responseTo = this->context.codec.responseRequestId(*channel.head);
    // Without an id, only the first response of a connection certainly belongs to the request in progress.
    const bool isUnattributable = responseTo.empty() && channel.isReused;
    channel.isStaleResponse = isUnattributable || (!responseTo.empty() && responseTo != channel.callerRequestId);
    channel.isReusable = channel.isReusable && !channel.isStaleResponse && !responseTo.empty();
    if (channel.isStaleResponse)
        return;
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

bool EndpointConnections::processInbound(ConnectionId connection, Channel& channel)
{
    if (!channel.head)
        return !channel.inbound.empty() && this->readHead(connection, channel);
    const std::size_t used = channel.decoder->feed(channel.inbound, channel.body);
    channel.inbound.erase(0, used);
    const std::size_t maxBodyBytes = channel.migration ? maxMigrationBodyBytes : maxBufferedBodyBytes;
    if (channel.decoder->isMalformed() || channel.body.size() > maxBodyBytes) {
        this->fail(connection, ExchangeEnd::Spoiled);
        return false;
    }
    if (channel.isRelaying)
        this->forwardEvents(connection, channel);
    if (!this->channels.contains(connection) || !channel.decoder->isComplete())
        return false;
    return this->handleResponseEnd(connection, channel);
}

bool EndpointConnections::handleResponseEnd(ConnectionId connection, Channel& channel)
{
    if (channel.isStaleResponse) {
        channel.head.reset();
        channel.body.clear();
        const bool isAllowed = ++channel.discardedHeads <= maxDiscardedHeads;
        if (!isAllowed)
            this->fail(connection, ExchangeEnd::Spoiled);
        return isAllowed;
    }
    if (channel.migration) {
        this->context.events.emplace_back(
            this->context.codec.readMigrationResponse(channel.migration->exchange, *channel.head, channel.body));
        this->discard(connection);
        return false;
    }
    if (channel.isStream) {
        if (!channel.isRelaying)
            return false;
        const bool endsWithConnection = channel.decoder->endsWithConnection();
        const bool isEmpty = endsWithConnection && !channel.events->hasEvents();
        if (isEmpty || channel.events->hasPartialEvent() || channel.events->hasGap()) {
            this->fail(connection, endsWithConnection ? ExchangeEnd::Broken : ExchangeEnd::Spoiled);
            return false;
        }
        if (!endsWithConnection)
            this->callers.completeResponse(channel.parameters.request);
        this->context.events.emplace_back(ExchangeEnded {
            channel.parameters.exchange, endsWithConnection ? ExchangeEnd::Closed : ExchangeEnd::Complete });
        this->release(connection, channel);
        return false;
    }
    this->context.events.emplace_back(
        ResponseReceived { channel.parameters.exchange, this->context.codec.readResponse(*channel.head) });
    return false;
}

ResponseHead EndpointConnections::relayedHead(const Channel& channel) const
{
    ResponseHead head = *channel.head;
    removeHopByHopFields(head.fields);
    return head;
}

void EndpointConnections::relayResponse(ExchangeId exchange)
{
    const auto found = this->connectionsByExchange.find(exchange);
    if (found == this->connectionsByExchange.end())
        return;
    const ConnectionId connection = found->second;
    Channel& channel = this->channels.at(connection);
    const RequestId request = channel.parameters.request;
    if (channel.isStream) {
        this->callers.startResponse(request, this->relayedHead(channel), std::nullopt);
        channel.isRelaying = true;
        this->forwardEvents(connection, channel);
        if (this->channels.contains(connection) && channel.decoder->isComplete())
            this->handleResponseEnd(connection, channel);
        return;
    }
    this->callers.startResponse(request, this->relayedHead(channel), channel.body.size());
    this->callers.writeBody(request, channel.body);
    this->callers.completeResponse(request);
    this->context.events.emplace_back(ExchangeEnded { exchange, ExchangeEnd::Complete });
    this->release(connection, channel);
}

void EndpointConnections::forwardEvents(ConnectionId connection, Channel& channel)
{
    const std::string completeEvents = channel.events->feed(channel.body);
    channel.body.clear();
    const RequestId request = channel.parameters.request;
    if (!completeEvents.empty()) {
        this->callers.writeBody(request, completeEvents);
        this->context.events.emplace_back(
            EventsRelayed { channel.parameters.exchange, channel.events->lastId().value_or(0) });
    }
    if (channel.events->hasGap() || channel.events->isRunaway())
        return this->fail(connection, ExchangeEnd::Spoiled);
    if (this->callers.queuedBytes(request) > maxQueuedStreamBytes) {
        this->blockedReads[this->callers.find(request)->connection] = connection;
        this->context.loop.setReadEnabled(connection, false);
    }
}

void EndpointConnections::callerDrained(ConnectionId caller)
{
    const auto blocked = this->blockedReads.find(caller);
    if (blocked == this->blockedReads.end())
        return;
    this->context.loop.setReadEnabled(blocked->second, true);
    this->blockedReads.erase(blocked);
}

void EndpointConnections::release(ConnectionId connection, Channel& channel)
{
    this->connectionsByExchange.erase(channel.parameters.exchange);
    const bool isFullySent = this->context.loop.queuedBytes(connection) == 0;
    const Milliseconds keepAlive = keepAliveTime(*channel.head);
    auto& pool = this->idleConnections[channel.endpoint];
    const bool keep = channel.isReusable && isFullySent && channel.inbound.empty() && keepAlive > Milliseconds(0)
        && pool.size() < maxIdlePerEndpoint;
    if (!keep)
        return this->discard(connection);
    this->budget.closed(connection);
    Channel pooled;
    pooled.phase = Phase::Idle;
    pooled.endpoint = channel.endpoint;
    pooled.address = channel.address;
    pooled.idleUntil = this->context.now + keepAlive;
    pool.insert(connection);
    channel = std::move(pooled);
}

void EndpointConnections::cancel(ExchangeId exchange)
{
    const auto found = this->connectionsByExchange.find(exchange);
    if (found != this->connectionsByExchange.end())
        this->discard(found->second);
}

void EndpointConnections::discard(ConnectionId connection)
{
    const auto found = this->channels.find(connection);
    if (found == this->channels.end())
        return;
    const Channel& channel = found->second;
    this->idleConnections[channel.endpoint].erase(connection);
    this->budget.closed(connection);
    if (channel.isCharged)
        this->callers.setBufferedResponse(channel.parameters.request, 0);
    const auto exchange = this->connectionsByExchange.find(channel.parameters.exchange);
    if (exchange != this->connectionsByExchange.end() && exchange->second == connection)
        this->connectionsByExchange.erase(exchange);
    std::erase_if(this->blockedReads, [&](const auto& item) { return item.second == connection; });
    this->channels.erase(found);
    this->context.loop.close(connection);
}

void EndpointConnections::fail(ConnectionId connection, ExchangeEnd end)
{
    const auto found = this->channels.find(connection);
    if (found == this->channels.end())
        return;
    const Channel& channel = found->second;
    const auto outcome = isUnsent(end) ? MigrationOutcome::Unreachable : MigrationOutcome::Failed;
    if (channel.migration)
        this->context.events.emplace_back(
            MigrationResponseReceived { channel.migration->exchange, outcome, {}, false, {} });
    else if (channel.phase != Phase::Idle)
        this->context.events.emplace_back(ExchangeEnded { channel.parameters.exchange, end });
    this->discard(connection);
}

void EndpointConnections::closed(ConnectionId connection, const ConnectionClosure& closure)
{
    const auto found = this->channels.find(connection);
    if (found == this->channels.end())
        return;
    Channel& channel = found->second;
    const bool isRefused = closure.reason == ConnectionClosure::refused;
    if (channel.isProbe)
        return this->endProbe(connection, isRefused ? ProbeOutcome::Refused : ProbeOutcome::Unreachable);
    const bool isOrderly = closure.reason == ConnectionClosure::closedByPeer;
    if (channel.phase == Phase::Connecting)
        return this->fail(connection, isRefused ? ExchangeEnd::Refused : ExchangeEnd::NotConnected);
    if (channel.phase == Phase::Busy && isOrderly && channel.decoder && !channel.isStaleResponse) {
        const bool wasComplete = channel.decoder->isComplete();
        channel.decoder->connectionClosed();
        if (!wasComplete && channel.decoder->isComplete()) {
            channel.isReusable = false;
            this->handleResponseEnd(connection, channel);
            return;
        }
        // The complete response is still waiting for the gateway's decision.
        if (wasComplete) {
            channel.isReusable = false;
            return;
        }
    }
    this->fail(connection, ExchangeEnd::Broken);
}

void EndpointConnections::tick()
{
    std::vector<ConnectionId> expired;
    for (const auto& [endpoint, pool] : this->idleConnections) {
        for (const ConnectionId connection : pool) {
            if (this->channels.at(connection).idleUntil <= this->context.now)
                expired.push_back(connection);
        }
    }
    for (const ConnectionId connection : expired)
        this->discard(connection);
    std::erase_if(this->idleConnections, [](const auto& item) { return item.second.empty(); });
    this->failExpiredMigrations();
}

void EndpointConnections::failExpiredMigrations()
{
    std::vector<ConnectionId> expired;
    for (const auto& [connection, channel] : this->channels) {
        if (channel.migration && this->context.now - channel.startedAt > migrationTimeout)
            expired.push_back(connection);
    }
    for (const ConnectionId connection : expired)
        this->fail(connection, ExchangeEnd::Spoiled);
}

}
