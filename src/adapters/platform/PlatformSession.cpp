#include "adapters/platform/PlatformSession.h"

#include "adapters/platform/PlatformDocuments.h"
#include "core/common/HandlerTable.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/URI.h>

#include <array>
#include <istream>
#include <ostream>

namespace teaselfold::Internal {

namespace {

    using Poco::Net::HTTPRequest;
    using Poco::Net::HTTPResponse;

    /** A connection unused for longer may be closed by the platform at any moment. */
    constexpr Seconds keepAliveLimit(5);
    constexpr std::size_t maximumAnswerBytes = std::size_t { 64 } * 1024 * 1024;
    constexpr std::size_t readChunkBytes = 65536;

    std::string encoded(const std::string& text)
    {
        std::string result;
        Poco::URI::encode(text, "?#&=+;:@", result);
        return result;
    }

    Poco::Timespan timespan(Milliseconds span) { return { Microseconds(span).count() }; }

    std::string quoted(std::uint64_t version) { return "\"" + std::to_string(version) + "\""; }

}

PlatformResult PlatformSession::carryOut(const PlatformRequest& request)
{
    static const HandlerTable<PlatformSession, PlatformResult, PlatformRequest> handlers(&PlatformSession::insert,
        &PlatformSession::replace, &PlatformSession::erase, &PlatformSession::read, &PlatformSession::scan,
        &PlatformSession::writeObject, &PlatformSession::readObject, &PlatformSession::listInstances);
    return handlers.dispatch(*this, request);
}

PlatformResult PlatformSession::insert(const TableInsert& request)
{
    const Question question { HTTPRequest::HTTP_PUT, "/table/" + encoded(request.key), "", "*", request.value };
    return this->conditionalWrite(question, request.key, HTTPResponse::HTTP_CREATED);
}

PlatformResult PlatformSession::replace(const TableReplace& request)
{
    const Question question { HTTPRequest::HTTP_PUT, "/table/" + encoded(request.key), quoted(request.expectedVersion),
        "", request.value };
    return this->conditionalWrite(question, request.key, HTTPResponse::HTTP_OK);
}

PlatformResult PlatformSession::erase(const TableErase& request)
{
    const Question question { HTTPRequest::HTTP_DELETE, "/table/" + encoded(request.key),
        quoted(request.expectedVersion), "", "" };
    return this->conditionalWrite(question, request.key, HTTPResponse::HTTP_NO_CONTENT);
}

PlatformResult PlatformSession::conditionalWrite(const Question& question, const std::string& key, int doneStatus)
{
    const Exchange exchange = this->ask(question);
    const auto* answer = std::get_if<Answer>(&exchange);
    if (!answer)
        return *std::get_if<PlatformUnavailable>(&exchange);
    if (answer->status == HTTPResponse::HTTP_PRECONDITION_FAILED)
        return readConflict(answer->body, key);
    if (answer->status != doneStatus)
        return PlatformUnavailable {};
    if (doneStatus == HTTPResponse::HTTP_NO_CONTENT)
        return WriteDone {};
    return readEntityTag(answer->entityTag);
}

PlatformResult PlatformSession::read(const TableRead& request)
{
    const Exchange exchange = this->ask({ HTTPRequest::HTTP_GET, "/table/" + encoded(request.key), "", "", "" });
    const auto* answer = std::get_if<Answer>(&exchange);
    if (!answer)
        return *std::get_if<PlatformUnavailable>(&exchange);
    if (answer->status == HTTPResponse::HTTP_NOT_FOUND)
        return Rows {};
    if (answer->status != HTTPResponse::HTTP_OK)
        return PlatformUnavailable {};
    return readRow(answer->body, request.key);
}

PlatformResult PlatformSession::scan(const TableScan& request)
{
    const std::string path = "/table?prefix=" + encoded(request.prefix) + "&after=" + encoded(request.after)
        + "&limit=" + std::to_string(request.limit);
    const Exchange exchange = this->ask({ HTTPRequest::HTTP_GET, path, "", "", "" });
    const auto* answer = std::get_if<Answer>(&exchange);
    if (!answer)
        return *std::get_if<PlatformUnavailable>(&exchange);
    if (answer->status != HTTPResponse::HTTP_OK)
        return PlatformUnavailable {};
    return readRows(answer->body);
}

PlatformResult PlatformSession::writeObject(const ObjectWrite& request)
{
    const Exchange exchange
        = this->ask({ HTTPRequest::HTTP_PUT, "/objects/" + encoded(request.key), "", "", request.value });
    const auto* answer = std::get_if<Answer>(&exchange);
    if (!answer)
        return *std::get_if<PlatformUnavailable>(&exchange);
    if (answer->status != HTTPResponse::HTTP_OK)
        return PlatformUnavailable {};
    return WriteDone {};
}

PlatformResult PlatformSession::readObject(const ObjectRead& request)
{
    const Exchange exchange = this->ask({ HTTPRequest::HTTP_GET, "/objects/" + encoded(request.key), "", "", "" });
    const auto* answer = std::get_if<Answer>(&exchange);
    if (!answer)
        return *std::get_if<PlatformUnavailable>(&exchange);
    if (answer->status == HTTPResponse::HTTP_NOT_FOUND)
        return ObjectMissing {};
    if (answer->status != HTTPResponse::HTTP_OK)
        return PlatformUnavailable {};
    return ObjectFound { answer->body };
}

PlatformResult PlatformSession::listInstances(const InstanceListRead&)
{
    const Exchange exchange = this->ask({ HTTPRequest::HTTP_GET, "/instances", "", "", "" });
    const auto* answer = std::get_if<Answer>(&exchange);
    if (!answer)
        return *std::get_if<PlatformUnavailable>(&exchange);
    if (answer->status != HTTPResponse::HTTP_OK)
        return PlatformUnavailable {};
    return readInstances(answer->body);
}

PlatformSession::Exchange PlatformSession::ask(const Question& question)
{
    const bool reused = this->reusable();
    const Exchange first = this->askOnce(question);
    // The platform may close a kept connection as the request arrives; only a read is safe to send again.
    if (!reused || std::holds_alternative<Answer>(first) || question.method != HTTPRequest::HTTP_GET)
        return first;
    return this->askOnce(question);
}

PlatformSession::Exchange PlatformSession::askOnce(const Question& question)
{
    if (!this->reusable() && !this->connect())
        return PlatformUnavailable { false };
    try {
        HTTPRequest request(question.method, question.path, HTTPRequest::HTTP_1_1);
        request.setHost(this->address.host, this->address.port);
        request.setKeepAlive(true);
        if (!question.ifMatch.empty())
            request.set("If-Match", question.ifMatch);
        if (!question.ifNoneMatch.empty())
            request.set("If-None-Match", question.ifNoneMatch);
        if (question.method == HTTPRequest::HTTP_PUT)
            request.setContentLength(static_cast<std::streamsize>(question.body.size()));
        this->session->sendRequest(request) << question.body << std::flush;
        return this->receive();
    } catch (const std::exception&) {
        this->session.reset();
        return PlatformUnavailable {};
    }
}

PlatformSession::Answer PlatformSession::receive()
{
    const Instant deadline = std::chrono::steady_clock::now() + this->timeout;
    HTTPResponse response;
    std::istream& stream = this->session->receiveResponse(response);
    Answer answer { response.getStatus(), response.get("ETag", ""), "" };
    std::string chunk(readChunkBytes, '\0');
    while (stream.read(chunk.data(), static_cast<std::streamsize>(chunk.size())), stream.gcount() > 0) {
        answer.body.append(chunk, 0, static_cast<std::size_t>(stream.gcount()));
        if (answer.body.size() > maximumAnswerBytes)
            throw Poco::DataFormatException("answer too large");
        if (std::chrono::steady_clock::now() > deadline)
            throw Poco::TimeoutException("answer too slow");
    }
    const bool hasBody = answer.status != HTTPResponse::HTTP_NO_CONTENT;
    if (hasBody && response.hasContentLength()
        && response.getContentLength64() != static_cast<Poco::Int64>(answer.body.size()))
        throw Poco::DataFormatException("answer cut short");
    this->usedAt = std::chrono::steady_clock::now();
    if (!response.getKeepAlive())
        this->session.reset();
    return answer;
}

bool PlatformSession::connect()
{
    this->session.reset();
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(this->address.host, this->address.port), timespan(this->timeout));
        socket.setNoDelay(true);
        socket.setSendTimeout(timespan(this->timeout));
        socket.setReceiveTimeout(timespan(this->timeout));
        this->session = std::make_unique<Poco::Net::HTTPClientSession>(socket);
        this->session->setTimeout(timespan(this->timeout));
        this->session->setKeepAlive(true);
        this->usedAt = std::chrono::steady_clock::now();
        return true;
    } catch (const std::exception&) {
        this->session.reset();
        return false;
    }
}

bool PlatformSession::reusable()
{
    if (!this->session || std::chrono::steady_clock::now() - this->usedAt > keepAliveLimit)
        return false;
    try {
        // Bytes or an end of the stream before any request mean that the connection is of no use.
        return !this->session->socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    } catch (const std::exception&) {
        return false;
    }
}

}
