#include "adapters/platform/PlatformSession.h"

#include "adapters/net/BoundedResponse.h"
#include "adapters/platform/PlatformResponses.h"
#include "core/common/HandlerTable.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/URI.h>

#include <array>
#include <istream>
#include <ostream>

namespace teaselfold::Internal {

namespace {

    using Poco::Net::HTTPRequest;
    using Poco::Net::HTTPResponse;

    /** Longest idle time after which a connection is reused; the platform may close one that was idle for longer. */
    constexpr Seconds maxIdleTime(5);
    constexpr std::size_t maxResponseBytes = std::size_t { 8 } * 1024 * 1024;

    std::string percentEncoded(const std::string& text)
    {
        std::string result;
        Poco::URI::encode(text, "?#&=+;:@", result);
        return result;
    }

    Poco::Timespan toTimespan(Milliseconds span) { return { Microseconds(span).count() }; }

    std::string entityTagOf(std::uint64_t version) { return "\"" + std::to_string(version) + "\""; }

}

PlatformResult PlatformSession::execute(const PlatformRequest& request)
{
    static const HandlerTable<PlatformSession, PlatformResult, PlatformRequest> handlers(&PlatformSession::insert,
        &PlatformSession::replace, &PlatformSession::erase, &PlatformSession::read, &PlatformSession::scan,
        &PlatformSession::writeObject, &PlatformSession::readObject, &PlatformSession::listInstances);
    return handlers.dispatch(*this, request);
}

PlatformResult PlatformSession::insert(const TableInsert& request)
{
    const OutgoingRequest outgoing { HTTPRequest::HTTP_PUT, "/table/" + percentEncoded(request.key), "", "*",
        request.value };
    return this->conditionalWrite(outgoing, request.key, HTTPResponse::HTTP_CREATED);
}

PlatformResult PlatformSession::replace(const TableReplace& request)
{
    const OutgoingRequest outgoing { HTTPRequest::HTTP_PUT, "/table/" + percentEncoded(request.key),
        entityTagOf(request.expectedVersion), "", request.value };
    return this->conditionalWrite(outgoing, request.key, HTTPResponse::HTTP_OK);
}

PlatformResult PlatformSession::erase(const TableErase& request)
{
    const OutgoingRequest outgoing { HTTPRequest::HTTP_DELETE, "/table/" + percentEncoded(request.key),
        entityTagOf(request.expectedVersion), "", "" };
    return this->conditionalWrite(outgoing, request.key, HTTPResponse::HTTP_NO_CONTENT);
}

PlatformResult PlatformSession::conditionalWrite(
    const OutgoingRequest& outgoing, const std::string& key, int successStatus)
{
    const RequestOutcome outcome = this->send(outgoing);
    const auto* response = std::get_if<Response>(&outcome);
    if (!response)
        return *std::get_if<PlatformUnavailable>(&outcome);
    if (response->status == HTTPResponse::HTTP_PRECONDITION_FAILED)
        return parseConflict(response->body, key);
    if (response->status != successStatus)
        return PlatformUnavailable {};
    if (successStatus == HTTPResponse::HTTP_NO_CONTENT)
        return WriteDone {};
    return parseEntityTag(response->entityTag);
}

PlatformResult PlatformSession::read(const TableRead& request)
{
    const RequestOutcome outcome
        = this->send({ HTTPRequest::HTTP_GET, "/table/" + percentEncoded(request.key), "", "", "" });
    const auto* response = std::get_if<Response>(&outcome);
    if (!response)
        return *std::get_if<PlatformUnavailable>(&outcome);
    if (response->status == HTTPResponse::HTTP_NOT_FOUND)
        return Rows {};
    if (response->status != HTTPResponse::HTTP_OK)
        return PlatformUnavailable {};
    return parseRow(response->body, request.key);
}

PlatformResult PlatformSession::scan(const TableScan& request)
{
    const std::string path = "/table?prefix=" + percentEncoded(request.prefix)
        + "&after=" + percentEncoded(request.after) + "&limit=" + std::to_string(request.limit);
    const RequestOutcome outcome = this->send({ HTTPRequest::HTTP_GET, path, "", "", "" });
    const auto* response = std::get_if<Response>(&outcome);
    if (!response)
        return *std::get_if<PlatformUnavailable>(&outcome);
    if (response->status != HTTPResponse::HTTP_OK)
        return PlatformUnavailable {};
    return parseRows(response->body);
}

PlatformResult PlatformSession::writeObject(const ObjectWrite& request)
{
    const RequestOutcome outcome
        = this->send({ HTTPRequest::HTTP_PUT, "/objects/" + percentEncoded(request.key), "", "", request.value });
    const auto* response = std::get_if<Response>(&outcome);
    if (!response)
        return *std::get_if<PlatformUnavailable>(&outcome);
    if (response->status != HTTPResponse::HTTP_OK)
        return PlatformUnavailable {};
    return WriteDone {};
}

PlatformResult PlatformSession::readObject(const ObjectRead& request)
{
    const RequestOutcome outcome
        = this->send({ HTTPRequest::HTTP_GET, "/objects/" + percentEncoded(request.key), "", "", "" });
    const auto* response = std::get_if<Response>(&outcome);
    if (!response)
        return *std::get_if<PlatformUnavailable>(&outcome);
    if (response->status == HTTPResponse::HTTP_NOT_FOUND)
        return ObjectMissing {};
    if (response->status != HTTPResponse::HTTP_OK)
        return PlatformUnavailable {};
    return ObjectFound { response->body };
}

PlatformResult PlatformSession::listInstances(const InstanceListRead&)
{
    const RequestOutcome outcome = this->send({ HTTPRequest::HTTP_GET, "/instances", "", "", "" });
    const auto* response = std::get_if<Response>(&outcome);
    if (!response)
        return *std::get_if<PlatformUnavailable>(&outcome);
    if (response->status != HTTPResponse::HTTP_OK)
        return PlatformUnavailable {};
    return parseInstances(response->body);
}

PlatformSession::RequestOutcome PlatformSession::send(const OutgoingRequest& outgoing)
{
    const bool reused = this->isReusable();
    const RequestOutcome first = this->sendOnce(outgoing);
    // The platform may close an idle connection while the request is in transit. Only a read is safe to repeat.
    if (!reused || std::holds_alternative<Response>(first) || outgoing.method != HTTPRequest::HTTP_GET)
        return first;
    return this->sendOnce(outgoing);
}

PlatformSession::RequestOutcome PlatformSession::sendOnce(const OutgoingRequest& outgoing)
{
    if (!this->isReusable() && !this->connect())
        return PlatformUnavailable { false };
    try {
        HTTPRequest request(outgoing.method, outgoing.path, HTTPRequest::HTTP_1_1);
        request.setHost(this->address.host, this->address.port);
        request.setKeepAlive(true);
        if (!outgoing.ifMatch.empty())
            request.set("If-Match", outgoing.ifMatch);
        if (!outgoing.ifNoneMatch.empty())
            request.set("If-None-Match", outgoing.ifNoneMatch);
        if (outgoing.method == HTTPRequest::HTTP_PUT)
            request.setContentLength(static_cast<std::streamsize>(outgoing.body.size()));
        this->socket.beginExchange({ std::chrono::steady_clock::now() + this->timeout, maxResponseBytes });
        this->session->sendRequest(request) << outgoing.body << std::flush;
        return this->receiveResponse();
    } catch (const std::exception&) {
        this->session.reset();
        return PlatformUnavailable {};
    }
}

PlatformSession::Response PlatformSession::receiveResponse()
{
    HTTPResponse header;
    receiveHead(*this->session, header);
    Response response { header.getStatus(), header.get("ETag", ""), "" };
    const auto append = [&](std::string_view bytes) {
        response.body.append(bytes);
        return true;
    };
    if (!receiveBody(*this->session, header, append))
        throw Poco::DataFormatException("response truncated");
    this->lastUsed = std::chrono::steady_clock::now();
    if (!header.getKeepAlive())
        this->session.reset();
    return response;
}

bool PlatformSession::connect()
{
    this->session.reset();
    try {
        this->socket = BoundedSocket();
        this->socket.connect(
            Poco::Net::SocketAddress(this->address.host, this->address.port), toTimespan(this->timeout));
        this->socket.setNoDelay(true);
        this->socket.setSendTimeout(toTimespan(this->timeout));
        this->socket.setReceiveTimeout(toTimespan(this->timeout));
        this->session = std::make_unique<BoundedSession>(this->socket);
        this->session->setTimeout(toTimespan(this->timeout));
        this->session->setKeepAlive(true);
        this->lastUsed = std::chrono::steady_clock::now();
        return true;
    } catch (const std::exception&) {
        this->session.reset();
        return false;
    }
}

bool PlatformSession::isReusable()
{
    if (!this->session || std::chrono::steady_clock::now() - this->lastUsed > maxIdleTime)
        return false;
    // Data or an end of stream while no request is pending means that the platform closed or broke the connection.
    return this->session->connected() && !this->session->hasUnexpectedInput();
}

}
