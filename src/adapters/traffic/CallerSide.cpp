#include "adapters/traffic/CallerSide.h"

#include "adapters/traffic/OwnAnswers.h"
#include "core/entry/RequestFingerprint.h"

#include <array>
#include <cstdio>
#include <vector>

namespace teaselfold {

namespace {

    /** Bytes of later requests that may wait behind the one being answered. */
    constexpr std::size_t maximumAheadBytes = 65536;
    constexpr std::string_view continueLine = "HTTP/1.1 100 Continue\r\n\r\n";
    constexpr std::string_view lastChunk = "0\r\n\r\n";
    constexpr std::uint16_t bodyTooLarge = 413;
    constexpr std::uint16_t badRequest = 400;

    bool wantsClose(const RequestHead& head)
    {
        const std::string* connection = findField(head.fields, "connection");
        const bool keeps = connection && listHasToken(*connection, "keep-alive");
        return (head.isHttp10 && !keeps) || (connection && listHasToken(*connection, "close"));
    }

    std::string chunkOf(std::string_view bytes)
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

void CallerSide::connected(ConnectionId connection) { this->callers[connection].since = this->context.now; }

void CallerSide::received(ConnectionId connection, std::string_view bytes)
{
    const auto found = this->callers.find(connection);
    if (found == this->callers.end() || found->second.phase == Phase::Over)
        return;
    Caller& caller = found->second;
    if (caller.inbound.empty() && caller.phase == Phase::Head)
        caller.since = this->context.now;
    caller.inbound.append(bytes);
    if (caller.phase == Phase::Answer && caller.inbound.size() > maximumAheadBytes)
        this->context.loop.setReading(connection, false);
    this->advance(connection);
}

void CallerSide::advance(ConnectionId connection)
{
    const auto found = this->callers.find(connection);
    if (found == this->callers.end())
        return;
    Caller& caller = found->second;
    if (caller.phase == Phase::Head && !caller.inbound.empty() && !this->readHead(connection, caller))
        return;
    if (caller.phase == Phase::Body && this->readBody(connection, caller))
        this->accept(connection, caller);
}

bool CallerSide::readHead(ConnectionId connection, Caller& caller)
{
    auto read = parseRequestHead(caller.inbound, this->bounds.maxHeadBytes);
    if (std::holds_alternative<HeadIncomplete>(read))
        return false;
    if (const auto* fault = std::get_if<HeadFault>(&read)) {
        this->reject(connection, caller, fault->status, fault->reason);
        return false;
    }
    auto& parsed = *std::get_if<ParsedHead<RequestHead>>(&read);
    const auto framing = requestFraming(parsed.head);
    if (const auto* fault = std::get_if<HeadFault>(&framing)) {
        this->reject(connection, caller, fault->status, fault->reason);
        return false;
    }
    if (!hasOneHost(parsed.head)) {
        this->reject(connection, caller, badRequest, "one host is needed");
        return false;
    }
    const BodyFraming& body = *std::get_if<BodyFraming>(&framing);
    if (body.length > this->bounds.maxBodyBytes) {
        this->reject(connection, caller, bodyTooLarge, "body too large");
        return false;
    }
    caller.inbound.erase(0, parsed.bytes);
    caller.head = std::move(parsed.head);
    caller.body.clear();
    caller.decoder.emplace(body);
    caller.phase = Phase::Body;
    caller.since = this->context.now;
    const std::string* expect = findField(caller.head.fields, "expect");
    if (expect && equalsIgnoringCase(*expect, "100-continue") && !caller.decoder->isDone())
        this->context.loop.send(connection, continueLine);
    return true;
}

bool CallerSide::readBody(ConnectionId connection, Caller& caller)
{
    const std::size_t used = caller.decoder->feed(caller.inbound, caller.body);
    caller.inbound.erase(0, used);
    if (caller.decoder->isBroken()) {
        this->reject(connection, caller, badRequest, "malformed body");
        return false;
    }
    if (caller.body.size() > this->bounds.maxBodyBytes) {
        this->reject(connection, caller, bodyTooLarge, "body too large");
        return false;
    }
    return caller.decoder->isDone();
}

void CallerSide::accept(ConnectionId connection, Caller& caller)
{
    const RequestId id(++this->lastRequest);
    GatewayRequest request = this->context.codec.readRequest(caller.head);
    request.id = id;
    request.fingerprint = fingerprintOf(request, caller.body);
    CallerRequest& kept = this->requests[id];
    kept.connection = connection;
    kept.closesAfter = wantsClose(caller.head) || this->stopping;
    kept.callerRequestId = request.callerRequestId;
    kept.head = std::move(caller.head);
    kept.body = std::make_shared<const std::string>(std::move(caller.body));
    caller.head = {};
    caller.body = {};
    caller.phase = Phase::Answer;
    caller.request = id;
    this->context.events.emplace_back(RequestArrived { std::move(request) });
}

void CallerSide::reject(ConnectionId connection, Caller& caller, std::uint16_t status, const std::string& reason)
{
    caller.phase = Phase::Over;
    caller.inbound.clear();
    const OwnAnswer answer = rejectionAnswer(status, reason);
    this->context.loop.send(connection, answer.bytes);
    this->context.loop.finish(connection);
}

void CallerSide::closed(ConnectionId connection)
{
    const auto found = this->callers.find(connection);
    if (found == this->callers.end())
        return;
    if (found->second.phase == Phase::Answer) {
        this->requests.erase(found->second.request);
        this->context.events.emplace_back(RequestAbandoned { found->second.request });
    }
    this->callers.erase(found);
}

void CallerSide::tick()
{
    std::vector<ConnectionId> slow;
    std::vector<ConnectionId> idle;
    for (const auto& [id, caller] : this->callers) {
        const Duration waited = this->context.now - caller.since;
        const bool reads = caller.phase == Phase::Body || (caller.phase == Phase::Head && !caller.inbound.empty());
        if (reads && waited > this->bounds.headTimeout)
            slow.push_back(id);
        else if (caller.phase == Phase::Head && caller.inbound.empty() && waited > this->bounds.idleTimeout)
            idle.push_back(id);
    }
    constexpr std::uint16_t requestTimeout = 408;
    for (const ConnectionId id : slow)
        this->reject(id, this->callers.at(id), requestTimeout, "request took too long");
    for (const ConnectionId id : idle) {
        this->callers.at(id).phase = Phase::Over;
        this->context.loop.finish(id);
    }
}

void CallerSide::closeIdle()
{
    for (auto& [id, caller] : this->callers) {
        if (caller.phase != Phase::Head || !caller.inbound.empty())
            continue;
        caller.phase = Phase::Over;
        this->context.loop.finish(id);
    }
}

const CallerRequest* CallerSide::find(RequestId request) const
{
    const auto found = this->requests.find(request);
    return found == this->requests.end() ? nullptr : &found->second;
}

CallerRequest* CallerSide::mutableRequest(RequestId request)
{
    const auto found = this->requests.find(request);
    return found == this->requests.end() ? nullptr : &found->second;
}

void CallerSide::begin(RequestId id, ResponseHead head, std::optional<std::size_t> length)
{
    CallerRequest* request = this->mutableRequest(id);
    if (!request || request->hasBegun)
        return;
    request->hasBegun = true;
    request->closesAfter = request->closesAfter || this->stopping;
    if (length)
        head.fields.push_back({ "Content-Length", std::to_string(*length) });
    else if (request->head.isHttp10)
        request->closesAfter = true;
    else {
        request->isChunked = true;
        head.fields.push_back({ "Transfer-Encoding", "chunked" });
    }
    if (request->closesAfter)
        head.fields.push_back({ "Connection", "close" });
    this->context.loop.send(request->connection, printHead(head));
}

void CallerSide::write(RequestId id, std::string_view bytes)
{
    const CallerRequest* request = this->find(id);
    if (!request || bytes.empty())
        return;
    if (request->isChunked)
        this->context.loop.send(request->connection, chunkOf(bytes));
    else
        this->context.loop.send(request->connection, bytes);
}

void CallerSide::complete(RequestId id)
{
    const CallerRequest* request = this->find(id);
    if (!request)
        return;
    if (request->isChunked)
        this->context.loop.send(request->connection, lastChunk);
    this->finishRequest(id);
}

void CallerSide::finishRequest(RequestId id)
{
    const CallerRequest request = std::move(this->requests.at(id));
    this->requests.erase(id);
    Caller& caller = this->callers.at(request.connection);
    caller.since = this->context.now;
    if (request.closesAfter) {
        caller.phase = Phase::Over;
        this->context.loop.finish(request.connection);
        return;
    }
    caller.phase = Phase::Head;
    this->context.loop.setReading(request.connection, true);
    this->advance(request.connection);
}

void CallerSide::refuse(RequestId id, const Failure& failure)
{
    CallerRequest* request = this->mutableRequest(id);
    if (!request)
        return;
    OwnAnswer answer = failureAnswer(failure, request->callerRequestId);
    this->begin(id, std::move(answer.head), answer.body.size());
    if (request->head.method != "HEAD")
        this->write(id, answer.body);
    this->finishRequest(id);
}

void CallerSide::cut(RequestId id)
{
    const CallerRequest* request = this->find(id);
    if (!request)
        return;
    const ConnectionId connection = request->connection;
    this->requests.erase(id);
    this->callers.at(connection).phase = Phase::Over;
    // The last chunk or the rest of the length is missing, which tells the caller.
    this->context.loop.finish(connection);
}

std::size_t CallerSide::queuedBytes(RequestId id) const
{
    const CallerRequest* request = this->find(id);
    return request ? this->context.loop.queuedBytes(request->connection) : 0;
}

}
