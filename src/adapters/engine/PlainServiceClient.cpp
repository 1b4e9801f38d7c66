#include "adapters/engine/PlainServiceClient.h"

#include "adapters/engine/HttpConnection.h"
#include "core/common/Check.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <istream>

namespace teaselfold {

namespace {

    using Poco::Net::HTTPRequest;
    using Poco::Net::HTTPResponse;

    constexpr Milliseconds connectLimit { 1000 };
    constexpr std::size_t answerBytes = std::size_t { 16 } * 1024 * 1024;
    constexpr std::size_t pieceBytes = std::size_t { 16 } * 1024;

    /** Headers that hold for one connection only (RFC 9110, section 7.6.1), and those that the client sets itself. */
    constexpr std::array hopHeaders { "connection", "keep-alive", "proxy-connection", "proxy-authenticate",
        "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "host" };

    bool isHopHeader(const std::string& name)
    {
        const std::string lower = Poco::toLower(name);
        return std::find(hopHeaders.begin(), hopHeaders.end(), lower) != hopHeaders.end();
    }

    void sendCall(Poco::Net::HTTPClientSession& session, const Address& address, const ServiceWork& work)
    {
        HTTPRequest request(work.method, work.path, HTTPRequest::HTTP_1_1);
        for (const Header& header : work.headers) {
            if (!isHopHeader(header.name))
                request.add(header.name, header.value);
        }
        request.setHost(address.host, address.port);
        if (!work.body.empty() || work.method != HTTPRequest::HTTP_GET)
            request.setContentLength(static_cast<std::streamsize>(work.body.size()));
        std::ostream& out = session.sendRequest(request);
        out << work.body;
        out.flush();
    }

    /** @return false when the body is longer than the limit or broke off. */
    bool readBody(std::istream& stream, const HTTPResponse& response, Instant until, std::string& body)
    {
        std::vector<char> piece(pieceBytes);
        while (stream.read(piece.data(), static_cast<std::streamsize>(piece.size())) || stream.gcount() > 0) {
            body.append(piece.data(), static_cast<std::size_t>(stream.gcount()));
            if (body.size() > answerBytes || std::chrono::steady_clock::now() >= until)
                return false;
        }
        const bool lengthKnown = response.hasContentLength();
        return !stream.bad()
            && (!lengthKnown || body.size() == static_cast<std::size_t>(response.getContentLength64()));
    }

    ServiceEvent receiveAnswer(Poco::Net::HTTPClientSession& session, const ServiceForward& forward, Instant until)
    {
        HTTPResponse response;
        std::istream& stream = session.receiveResponse(response);
        ServiceResponded answer { forward.call, static_cast<std::uint16_t>(response.getStatus()), {}, {} };
        const bool hasBody = forward.work.method != HTTPRequest::HTTP_HEAD;
        if (hasBody && !readBody(stream, response, until, answer.body))
            return ServiceCallFailed { forward.call, Executed::Unknown };
        for (const auto& [name, value] : response) {
            if (!isHopHeader(name))
                answer.headers.push_back({ name, value });
        }
        return answer;
    }

}

PlainServiceClient::PlainServiceClient(Address address, std::size_t workerCount, Sink sink)
    : address(std::move(address))
    , sink(std::move(sink))
    , calls(workerCount)
{
    for (std::size_t index = 0; index < workerCount; ++index)
        this->workers.emplace_back([this] { this->run(); });
}

bool PlainServiceClient::submit(const ServiceForward& forward) { return this->calls.tryPush(forward); }

void PlainServiceClient::stop()
{
    this->calls.close();
    for (std::thread& worker : this->workers) {
        if (worker.joinable())
            worker.join();
    }
}

void PlainServiceClient::run()
{
    while (const auto forward = this->calls.popUntil(Instant::max()))
        this->sink(this->carryOut(*forward));
}

ServiceEvent PlainServiceClient::carryOut(const ServiceForward& forward) const
{
    const Instant until = std::chrono::steady_clock::now() + forward.budget;
    const auto session
        = Internal::openConnection(this->address, std::min(connectLimit, forward.budget), forward.budget);
    if (!session)
        return ServiceCallFailed { forward.call, Executed::No };
    try {
        sendCall(*session, this->address, forward.work);
        return receiveAnswer(*session, forward, until);
    } catch (const Poco::Exception&) {
        return ServiceCallFailed { forward.call, Executed::Unknown };
    }
}

PlainServiceClientBuilder& PlainServiceClientBuilder::withAddress(Address value)
{
    this->address = std::move(value);
    return *this;
}

PlainServiceClientBuilder& PlainServiceClientBuilder::withWorkers(std::size_t count)
{
    this->workers = count;
    return *this;
}

PlainServiceClientBuilder& PlainServiceClientBuilder::withSink(PlainServiceClient::Sink value)
{
    this->sink = std::move(value);
    return *this;
}

std::unique_ptr<PlainServiceClient> PlainServiceClientBuilder::build() const
{
    internalCheck(this->sink && this->workers > 0, "a service client has a sink and a worker");
    return std::make_unique<PlainServiceClient>(this->address, this->workers, this->sink);
}

}
