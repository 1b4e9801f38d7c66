#include "adapters/traffic/CallerConnections.h"

#include "adapters/traffic/LocalResponses.h"
#include "core/entry/RequestFingerprint.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <vector>

namespace teaselfold {

namespace {

    /** Limit on buffered bytes of pipelined requests while a response is in progress; reading pauses beyond it. */
    constexpr std::size_t maxPipelinedBytes = 65536;
    constexpr std::string_view continueLine = "HTTP/1.1 100 Continue\r\n\r\n";
    constexpr std::string_view lastChunk = "0\r\n\r\n";
    constexpr Milliseconds unreadCheckInterval(500);
    /** Time after which memory is likely to be free again. */
    constexpr Milliseconds memoryRetryAfter(1000);
    constexpr std::uint16_t statusPayloadTooLarge = 413;
    constexpr std::uint16_t statusBadRequest = 400;

    bool requestsClose(const RequestHead& head)
    {
        const std::string* connection = findField(head.fields, "connection");
        const bool keepsAlive = connection && listHasToken(*connection, "keep-alive");
        return (head.isHttp10 && !keepsAlive) || (connection && listHasToken(*connection, "close"));
    }

    std::string encodeChunk(std::string_view bytes)
    {
        std::array<char, 20> size {};
        const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
        std::string chunk(size.data(), static_cast<std::size_t>(length));
        chunk.append(bytes);
        chunk += "\r\n";
        return chunk;
    }

    bool hasOneHost(const RequestHead& head)
    {
        std::size_t hosts = 0;
        for (const HeaderField& field : head.fields)
            hosts += equalsIgnoringCase(field.name, "host") ? 1 : 0;
        return hosts == 1;
    }

}

void CallerConnections::connected(ConnectionId connection)
{
    this->callers[connection].phaseStartedAt = this->context.now;
    this->budget.opened(connection, this->context.now);
    this->record(connection);
    this->keepWithinConnections();
}

void CallerConnections::keepWithinConnections()
{
    const std::size_t others = this->context.loop.traffic().connections - this->callers.size();
    for (const ConnectionId excess : this->budget.shortOfConnections(others))
        this->shed(excess, "connections");
}

void CallerConnections::received(ConnectionId connection, std::string_view bytes)
{
    const auto found = this->callers.find(connection);
    if (found == this->callers.end() || found->second.phase == Phase::Closing)
        return;
    CallerState& caller = found->second;
    if (caller.inbound.empty() && caller.phase == Phase::Head)
        caller.phaseStartedAt = this->context.now;
    caller.inbound.append(bytes);
    caller.receivedBytes += bytes.size();
    this->processInbound(connection);
    this->record(connection);
    const bool waits = caller.phase == Phase::Response || caller.phase == Phase::Head;
    if (waits && caller.inbound.size() > maxPipelinedBytes)
        this->context.loop.setReadEnabled(connection, false);
}

void CallerConnections::drained(ConnectionId connection)
{
    const auto found = this->callers.find(connection);
    if (found == this->callers.end())
        return;
    if (found->second.phase == Phase::Head) {
        found->second.phaseStartedAt = this->context.now;
        this->context.loop.setReadEnabled(connection, true);
        this->processInbound(connection);
    }
    this->record(connection);
}

void CallerConnections::processInbound(ConnectionId connection)
{
    const auto found = this->callers.find(connection);
    if (found == this->callers.end())
        return;
    CallerState& caller = found->second;
    // The next request is taken up when the caller has taken the response before, so that unread responses do not pile
    // up.
    if (caller.phase == Phase::Head && this->context.loop.queuedBytes(connection) > 0)
        return;
    if (caller.phase == Phase::Head && !caller.inbound.empty() && !this->readHead(connection, caller))
        return;
    if (caller.phase == Phase::Body && this->readBody(connection, caller))
        this->submitRequest(connection, caller);
}

bool CallerConnections::readHead(ConnectionId connection, CallerState& caller)
{
    auto read = parseRequestHead(caller.inbound, this->bounds.maxHeadBytes);
    if (std::holds_alternative<HeadIncomplete>(read))
        return false;
    if (const auto* fault = std::get_if<HeadFault>(&read)) {
        this->rejectRequest(connection, caller, fault->status, fault->reason);
        return false;
    }
    auto& parsed = *std::get_if<ParsedHead<RequestHead>>(&read);
    const auto framing = requestFraming(parsed.head);
    if (const auto* fault = std::get_if<HeadFault>(&framing)) {
        this->rejectRequest(connection, caller, fault->status, fault->reason);
        return false;
    }
    if (!hasOneHost(parsed.head)) {
        this->rejectRequest(connection, caller, statusBadRequest, "one host is needed");
        return false;
    }
    const BodyFraming& body = *std::get_if<BodyFraming>(&framing);
    if (body.length > this->bounds.maxBodyBytes) {
        this->rejectRequest(connection, caller, statusPayloadTooLarge, "body too large");
        return false;
    }
    if (!this->budget.admitsBody(memoryOfBody(body.length))) {
        this->refuseForMemory(connection, caller);
        return false;
    }
    caller.inbound.erase(0, parsed.bytes);
    caller.head = std::move(parsed.head);
    caller.body.clear();
    caller.decoder.emplace(body);
    caller.phase = Phase::Body;
    caller.phaseStartedAt = this->context.now;
    const std::string* expect = findField(caller.head.fields, "expect");
    if (expect && equalsIgnoringCase(*expect, "100-continue") && !caller.decoder->isComplete())
        this->context.loop.send(connection, continueLine);
    return true;
}

bool CallerConnections::readBody(ConnectionId connection, CallerState& caller)
{
    const std::size_t used = caller.decoder->feed(caller.inbound, caller.body);
    caller.inbound.erase(0, used);
    if (caller.decoder->isMalformed()) {
        this->rejectRequest(connection, caller, statusBadRequest, "malformed body");
        return false;
    }
    if (caller.body.size() > this->bounds.maxBodyBytes) {
        this->rejectRequest(connection, caller, statusPayloadTooLarge, "body too large");
        return false;
    }
    // The size of a body in chunks is not known before.
    if (!this->budget.admitsBody(memoryOfBody(caller.body.size()))) {
        this->refuseForMemory(connection, caller);
        return false;
    }
    return caller.decoder->isComplete();
}

void CallerConnections::submitRequest(ConnectionId connection, CallerState& caller)
{
    const RequestId id(++this->lastRequest);
    GatewayRequest request = this->context.codec.readRequest(caller.head);
    request.id = id;
    request.fingerprint = fingerprintOf(request, caller.body);
    CallerRequest& pending = this->requests[id];
    pending.connection = connection;
    pending.closeAfterResponse = requestsClose(caller.head) || this->draining;
    pending.callerRequestId = request.callerRequestId;
    pending.head = std::move(caller.head);
    pending.body = std::make_shared<const std::string>(std::move(caller.body));
    caller.head = {};
    caller.body = {};
    releaseEmpty(caller.inbound);
    caller.phase = Phase::Response;
    caller.request = id;
    this->context.events.emplace_back(RequestArrived { std::move(request) });
}

void CallerConnections::rejectRequest(
    ConnectionId connection, CallerState& caller, std::uint16_t status, const std::string& reason)
{
    const std::string id
        = caller.phase == Phase::Body ? this->context.codec.readRequest(caller.head).callerRequestId : std::string();
    this->context.events.emplace_back(RequestUnreadable { id, status, reason });
    this->closeRejected(connection, caller, rejectionResponse(status, reason));
}

void CallerConnections::refuseForMemory(ConnectionId connection, CallerState& caller)
{
    const std::string id
        = caller.phase == Phase::Body ? this->context.codec.readRequest(caller.head).callerRequestId : std::string();
    const Failure failure { ErrorCode::NoCapacity, "no memory for the request", Executed::No, memoryRetryAfter };
    this->context.events.emplace_back(CallerShed { "memory", this->usage(connection, caller).heldBytes, 0 });
    const LocalResponse response = closingFailureResponse(failure, id);
    this->context.events.emplace_back(RequestUnreadable { id, response.head.status, failure.message });
    this->closeRejected(connection, caller, response);
}

void CallerConnections::closeRejected(ConnectionId connection, CallerState& caller, const LocalResponse& response)
{
    caller.phase = Phase::Closing;
    caller.inbound.clear();
    releaseEmpty(caller.inbound);
    caller.body.clear();
    releaseEmpty(caller.body);
    caller.head = {};
    this->context.loop.send(connection, response.bytes);
    this->context.loop.closeGracefully(connection);
    this->record(connection);
}

void CallerConnections::closed(ConnectionId connection, const ConnectionClosure& closure)
{
    const auto found = this->callers.find(connection);
    if (found == this->callers.end())
        return;
    const CallerState& caller = found->second;
    if (caller.phase == Phase::Response) {
        this->requests.erase(caller.request);
        this->context.events.emplace_back(RequestAbandoned { caller.request, std::string(closure.reason) });
    } else if (closure.unsentBytes > 0)
        this->context.events.emplace_back(
            ResponseLost { caller.lastEnded, std::string(closure.reason), closure.unsentBytes });
    this->callers.erase(found);
    this->budget.closed(connection);
}

void CallerConnections::tick()
{
    std::vector<ConnectionId> slow;
    std::vector<ConnectionId> idle;
    for (const auto& [id, caller] : this->callers) {
        const Duration waited = this->context.now - caller.phaseStartedAt;
        const bool isReading = caller.phase == Phase::Body || (caller.phase == Phase::Head && !caller.inbound.empty());
        if (isReading && waited > this->bounds.headTimeout) {
            // A request behind a response that is not taken has not been looked at.
            if (caller.phase == Phase::Body || this->context.loop.queuedBytes(id) == 0)
                slow.push_back(id);
        } else if (caller.phase == Phase::Head && caller.inbound.empty() && waited > this->bounds.idleTimeout)
            idle.push_back(id);
    }
    constexpr std::uint16_t statusRequestTimeout = 408;
    for (const ConnectionId id : slow)
        this->rejectRequest(id, this->callers.at(id), statusRequestTimeout, "request took too long");
    for (const ConnectionId id : idle)
        this->closeIdle(id);
    this->shedUnread();
    this->keepWithinConnections();
    this->keepWithinMemory();
}

void CallerConnections::closeIdle(ConnectionId connection)
{
    if (this->context.loop.queuedBytes(connection) > 0) {
        this->callers.at(connection).phase = Phase::Closing;
        return this->context.loop.closeGracefully(connection);
    }
    // A graceful close would read and discard a request that crosses it; a reset tells its caller that nothing was
    // read.
    this->callers.erase(connection);
    this->budget.closed(connection);
    this->context.loop.close(connection);
}

void CallerConnections::closeIdleConnections()
{
    std::vector<ConnectionId> idle;
    for (const auto& [id, caller] : this->callers) {
        if (caller.phase == Phase::Head && caller.inbound.empty() && this->context.loop.queuedBytes(id) == 0)
            idle.push_back(id);
    }
    for (const ConnectionId id : idle)
        this->closeIdle(id);
}

bool CallerConnections::hasUnsentBytes() const
{
    return std::any_of(this->callers.begin(), this->callers.end(),
        [&](const auto& caller) { return this->context.loop.queuedBytes(caller.first) > 0; });
}

void CallerConnections::reportUnsentResponses()
{
    for (const auto& [connection, caller] : this->callers) {
        const std::size_t unsent = this->context.loop.queuedBytes(connection);
        if (unsent > 0)
            this->context.events.emplace_back(ResponseLost { caller.lastEnded, "exit", unsent });
    }
}

const CallerRequest* CallerConnections::find(RequestId request) const
{
    const auto found = this->requests.find(request);
    return found == this->requests.end() ? nullptr : &found->second;
}

CallerRequest* CallerConnections::findMutable(RequestId request)
{
    const auto found = this->requests.find(request);
    return found == this->requests.end() ? nullptr : &found->second;
}

void CallerConnections::startResponse(RequestId id, ResponseHead head, std::optional<std::size_t> length)
{
    CallerRequest* request = this->findMutable(id);
    if (!request || request->responseStarted)
        return;
    request->responseStarted = true;
    request->closeAfterResponse = request->closeAfterResponse || this->draining;
    if (length)
        head.fields.push_back({ "Content-Length", std::to_string(*length) });
    else if (request->head.isHttp10) {
        request->closeAfterResponse = true;
        request->endsWithConnection = true;
        this->context.loop.resetOnClose(request->connection);
    } else {
        request->isChunked = true;
        head.fields.push_back({ "Transfer-Encoding", "chunked" });
    }
    if (request->closeAfterResponse)
        head.fields.push_back({ "Connection", "close" });
    this->context.loop.send(request->connection, serializeHead(head));
}

void CallerConnections::writeBody(RequestId id, std::string_view bytes)
{
    const CallerRequest* request = this->find(id);
    if (!request || bytes.empty())
        return;
    if (request->isChunked)
        this->context.loop.send(request->connection, encodeChunk(bytes));
    else
        this->context.loop.send(request->connection, bytes);
    this->record(request->connection);
}

void CallerConnections::completeResponse(RequestId id)
{
    const CallerRequest* request = this->find(id);
    if (!request)
        return;
    if (request->isChunked)
        this->context.loop.send(request->connection, lastChunk);
    this->finishRequest(id);
}

void CallerConnections::finishRequest(RequestId id)
{
    const CallerRequest request = std::move(this->requests.at(id));
    this->requests.erase(id);
    CallerState& caller = this->callers.at(request.connection);
    caller.phaseStartedAt = this->context.now;
    caller.lastEnded = request.callerRequestId;
    if (request.closeAfterResponse) {
        caller.phase = Phase::Closing;
        this->context.loop.closeGracefully(request.connection);
        return;
    }
    // The loop reports it as drained when the response is written; the next request is taken up then.
    caller.phase = Phase::Head;
    if (this->context.loop.queuedBytes(request.connection) == 0)
        return this->drained(request.connection);
    this->record(request.connection);
}

void CallerConnections::sendFailure(RequestId id, const Failure& failure)
{
    CallerRequest* request = this->findMutable(id);
    if (!request)
        return;
    LocalResponse response = failureResponse(failure, request->callerRequestId);
    this->startResponse(id, std::move(response.head), response.body.size());
    if (request->head.method != "HEAD")
        this->writeBody(id, response.body);
    this->finishRequest(id);
}

void CallerConnections::abortResponse(RequestId id)
{
    const CallerRequest* request = this->find(id);
    if (!request)
        return;
    const ConnectionId connection = request->connection;
    const bool endsWithConnection = request->endsWithConnection;
    CallerState& caller = this->callers.at(connection);
    caller.lastEnded = request->callerRequestId;
    caller.phase = Phase::Closing;
    this->requests.erase(id);
    // A missing last chunk, a missing rest of the declared length or a reset tells the caller that the response is
    // incomplete.
    if (endsWithConnection)
        this->context.loop.closeAfterWriting(connection);
    else
        this->context.loop.closeGracefully(connection);
}

void CallerConnections::setBufferedResponse(RequestId id, std::size_t bytes)
{
    CallerRequest* request = this->findMutable(id);
    if (!request)
        return;
    request->bufferedResponseBytes = bytes;
    this->record(request->connection);
}

CallerUsage CallerConnections::usage(ConnectionId connection, const CallerState& caller) const
{
    const CallerRequest* request = caller.phase == Phase::Response ? this->find(caller.request) : nullptr;
    return usageOf(
        caller, request, { this->context.loop.queuedBytes(connection), this->context.loop.writtenBytes(connection) });
}

void CallerConnections::record(ConnectionId connection)
{
    const auto found = this->callers.find(connection);
    if (found != this->callers.end())
        this->budget.record(connection, this->usage(connection, found->second), this->context.now);
}

void CallerConnections::keepWithinMemory()
{
    for (const ConnectionId connection : this->budget.shortOfMemory(this->context.now)) {
        const auto found = this->callers.find(connection);
        if (found == this->callers.end())
            continue;
        CallerState& caller = found->second;
        const bool isReading = caller.phase == Phase::Body || (caller.phase == Phase::Head && !caller.inbound.empty());
        if (isReading && this->context.loop.queuedBytes(connection) == 0)
            this->refuseForMemory(connection, caller);
        else
            this->shed(connection, "memory");
    }
}

void CallerConnections::shed(ConnectionId connection, std::string_view reason)
{
    const auto found = this->callers.find(connection);
    if (found == this->callers.end())
        return;
    const ConnectionClosure closure { reason, this->context.loop.queuedBytes(connection) };
    this->context.events.emplace_back(
        CallerShed { std::string(reason), this->usage(connection, found->second).heldBytes, closure.unsentBytes });
    this->context.loop.close(connection);
    this->closed(connection, closure);
}

void CallerConnections::shedUnread()
{
    if (this->context.now < this->nextUnreadCheck)
        return;
    this->nextUnreadCheck = this->context.now + unreadCheckInterval;
    for (const ConnectionId connection : this->budget.unread())
        this->record(connection);
    for (const ConnectionId connection : this->budget.overdue(this->context.now))
        this->shed(connection, "unread");
}

std::size_t CallerConnections::queuedBytes(RequestId id) const
{
    const CallerRequest* request = this->find(id);
    return request ? this->context.loop.queuedBytes(request->connection) : 0;
}

}
