#include "adapters/engine/PlainServiceClient.h"

#include "adapters/engine/HttpConnection.h"
#include "adapters/net/BoundedResponse.h"
#include "core/common/Check.h"
#include "ports/HeaderText.h"

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

    constexpr Milliseconds connectTimeout { 1000 };
    constexpr std::size_t maxResponseBytes = std::size_t { 16 } * 1024 * 1024;
    /** Heads, chunks and trailers beside the body of a response. */
    constexpr std::size_t maxOverheadBytes = std::size_t { 1024 } * 1024;
    /** Bytes that the responses in progress may hold together. */
    constexpr std::size_t maxHeldBytes = std::size_t { 32 } * 1024 * 1024;

    /** Headers that are not forwarded: hop-by-hop headers (RFC 9110, section 7.6.1) and those set by the client. */
    constexpr std::array excludedHeaders { "connection", "keep-alive", "proxy-connection", "proxy-authenticate",
        "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "host" };

    bool isExcludedHeader(const std::string& name)
    {
        const std::string lower = Poco::toLower(name);
        return std::find(excludedHeaders.begin(), excludedHeaders.end(), lower) != excludedHeaders.end();
    }

    void sendCall(BoundedSession& session, const Address& address, const ServiceWork& work)
    {
        HTTPRequest request(work.method, work.path, HTTPRequest::HTTP_1_1);
        for (const Header& header : work.headers) {
            if (!isExcludedHeader(header.name))
                request.add(header.name, header.value);
        }
        request.setHost(address.host, address.port);
        if (!work.body.empty() || work.method != HTTPRequest::HTTP_GET)
            request.setContentLength(static_cast<std::streamsize>(work.body.size()));
        std::ostream& out = session.sendRequest(request);
        out << work.body;
        out.flush();
    }

    /** Counts the bytes of one response among those that all responses in progress hold. */
    class HeldResponse {
    public:
        explicit HeldResponse(std::atomic<std::size_t>& total)
            : total(total)
        {
        }
        ~HeldResponse() { this->total -= this->bytes; }
        HeldResponse(const HeldResponse&) = delete;
        HeldResponse& operator=(const HeldResponse&) = delete;

        /** @param fairShare bytes that a response may always hold. @return false if all hold too much. */
        bool add(std::size_t count, std::size_t fairShare)
        {
            this->bytes += count;
            return (this->total += count) <= maxHeldBytes || this->bytes <= fairShare;
        }

    private:
        std::atomic<std::size_t>& total;
        std::size_t bytes { 0 };
    };

}

ServiceEvent PlainServiceClient::readResponse(BoundedSession& session, const ServiceForward& forward, Instant deadline)
{
    HTTPResponse response;
    receiveHead(session, response);
    ServiceResponded answer { forward.call, static_cast<std::uint16_t>(response.getStatus()), {}, {} };
    const bool hasBody = forward.work.method != HTTPRequest::HTTP_HEAD;
    HeldResponse held(this->heldBytes);
    const auto append = [&](std::string_view bytes) {
        answer.body.append(bytes);
        return answer.body.size() <= maxResponseBytes && held.add(bytes.size(), maxHeldBytes / this->workerCount)
            && std::chrono::steady_clock::now() < deadline;
    };
    if (hasBody && !receiveBody(session, response, append))
        return ServiceCallFailed { forward.call, Executed::Unknown };
    for (const auto& [name, value] : response) {
        // POCO decodes the encoded words of RFC 2047, which may contain line ends.
        if (!isHeaderValue(value))
            return ServiceCallFailed { forward.call, Executed::Unknown };
        if (!isExcludedHeader(name))
            answer.headers.push_back({ name, value });
    }
    return answer;
}

PlainServiceClient::PlainServiceClient(Address address, std::size_t workerCount, Sink sink)
    : address(std::move(address))
    , sink(std::move(sink))
    , workerCount(workerCount)
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
        this->sink(this->execute(*forward));
}

ServiceEvent PlainServiceClient::execute(const ServiceForward& forward)
{
    const Instant deadline = std::chrono::steady_clock::now() + forward.budget;
    const auto session = Internal::openConnection(BoundedSocket(), this->address,
        std::min(connectTimeout, forward.budget), forward.budget, { deadline, maxResponseBytes + maxOverheadBytes });
    if (!session)
        return ServiceCallFailed { forward.call, Executed::No };
    try {
        sendCall(*session, this->address, forward.work);
        return this->readResponse(*session, forward, deadline);
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
    this->workerCount = count;
    return *this;
}

PlainServiceClientBuilder& PlainServiceClientBuilder::withSink(PlainServiceClient::Sink value)
{
    this->sink = std::move(value);
    return *this;
}

std::unique_ptr<PlainServiceClient> PlainServiceClientBuilder::build() const
{
    internalCheck(this->sink && this->workerCount > 0, "a service client needs a sink and at least one worker");
    return std::make_unique<PlainServiceClient>(this->address, this->workerCount, this->sink);
}

}
