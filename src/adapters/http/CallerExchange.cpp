#include "adapters/http/CallerExchange.h"

#include "adapters/http/ErrorBody.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace teaselfold {

namespace {

    constexpr Milliseconds disconnectCheckInterval { 250 };
    constexpr std::size_t readChunkBytes = 16384;
    constexpr std::size_t maxTeamIdBytes = 128;
    const std::string bearerPrefix = "Bearer ";

    Failure badRequest(std::string message) { return { ErrorCode::BadRequest, std::move(message), Executed::No }; }

    std::optional<std::int64_t> parseInteger(const std::string& text)
    {
        std::int64_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    std::string bearerToken(const Poco::Net::HTTPRequest& request)
    {
        const std::string header = request.get("Authorization", "");
        return header.starts_with(bearerPrefix) ? header.substr(bearerPrefix.size()) : std::string();
    }

}

Failure makeQueueFullFailure() { return { ErrorCode::QueueFull, "this entry is busy", Executed::No, Seconds(1) }; }

CallerExchange::CallerExchange(
    CallerContext& context, Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
    : request(request)
    , response(response)
    , context(context)
    , socket(static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket())
{
}

CallerExchange::~CallerExchange()
{
    this->context.receiveTimeoutMonitor.stopTracking(this->request.clientAddress().toString());
    this->context.bodyMemory.release(this->bodyBytesTaken);
    if (!this->registration)
        return;
    const RequestId id = this->registration->request;
    this->context.registry.remove(id);
    if (this->submitted && !this->complete)
        this->context.router.push(CallerDisconnected { id });
}

Outcome<AuthenticatedCaller> CallerExchange::authenticate() const
{
    AuthenticatedCaller caller { TeamId(this->request.get("Teaselfold-Team", "")),
        this->context.limits.defaultDeadline };
    const std::string& team = caller.team.get();
    if (team.empty() || team.size() > maxTeamIdBytes)
        return badRequest("the header Teaselfold-Team must have 1 to 128 bytes");
    if (this->request.has("Teaselfold-Deadline-Ms")) {
        const auto deadline = parseInteger(this->request.get("Teaselfold-Deadline-Ms"));
        if (!deadline || *deadline < 1 || Milliseconds(*deadline) > this->context.limits.maxDeadline)
            return badRequest("the header Teaselfold-Deadline-Ms must be a whole number from 1 to "
                + std::to_string(this->context.limits.maxDeadline.count()));
        caller.budget = Milliseconds(*deadline);
    }
    if (const auto refusal = this->context.teams.authorize(caller.team, bearerToken(this->request)))
        return *refusal;
    return caller;
}

Outcome<std::string> CallerExchange::readBody()
{
    const std::size_t limit = this->context.limits.maxBodyBytes;
    const Failure tooLarge { ErrorCode::TooLarge, "the body has more than " + std::to_string(limit) + " bytes",
        Executed::No };
    const bool hasLength = this->request.hasContentLength();
    if (hasLength && this->request.getContentLength64() > static_cast<std::int64_t>(limit))
        return tooLarge;
    std::string body;
    if (hasLength || this->request.getChunkedTransferEncoding()) {
        // A body that grows is copied each time, and takes up to twice its size.
        const std::int64_t length = hasLength ? this->request.getContentLength64() : 0;
        body.reserve(static_cast<std::size_t>(std::max<std::int64_t>(length, 0)));
        if (auto failure = this->readInto(body, limit))
            return *failure;
    }
    if (body.size() > limit)
        return tooLarge;
    this->context.receiveTimeoutMonitor.stopTracking(this->request.clientAddress().toString());
    if (hasLength && static_cast<std::int64_t>(body.size()) != this->request.getContentLength64())
        return badRequest("the body was cut off");
    return body;
}

std::optional<Failure> CallerExchange::readInto(std::string& body, std::size_t limit)
{
    std::array<char, readChunkBytes> chunk {};
    std::istream& stream = this->request.stream();
    while (stream.good() && body.size() <= limit) {
        stream.read(chunk.data(), chunk.size());
        const auto count = static_cast<std::size_t>(stream.gcount());
        // The first chunk is always taken, so that large bodies do not keep out small ones.
        if (!body.empty() && count > 0) {
            if (!this->context.bodyMemory.take(count))
                return Failure { ErrorCode::NoCapacity, "no memory for the body", Executed::No, Seconds(1) };
            this->bodyBytesTaken += count;
        }
        body.append(chunk.data(), count);
    }
    return std::nullopt;
}

RequestId CallerExchange::openRing(std::size_t capacity)
{
    this->registration = this->context.registry.add(capacity);
    return this->registration->request;
}

bool CallerExchange::submit(RouterEvent event)
{
    this->submitted = this->context.router.tryPush(std::move(event));
    return this->submitted;
}

void CallerExchange::reportConsumed(std::uint32_t nextIndex)
{
    this->context.router.push(CallerConsumed { this->registration->request, nextIndex });
}

std::optional<CallerMessage> CallerExchange::waitForMessage()
{
    while (true) {
        auto message = this->registration->ring->popUntil(std::chrono::steady_clock::now() + disconnectCheckInterval);
        if (message)
            return message;
        if (this->registration->ring->isClosed() || this->isDisconnected())
            return std::nullopt;
    }
}

bool CallerExchange::isDisconnected()
{
    if (!this->socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
        return false;
    char byte = 0;
    try {
        return this->socket.receiveBytes(&byte, 1, MSG_PEEK) == 0;
    } catch (const Poco::Exception&) {
        return true;
    }
}

void CallerExchange::sendFailure(const Failure& failure)
{
    const std::string body = encodeErrorBody(failure);
    const std::string retryAfter = encodeRetryAfter(failure.retryAfter);
    this->response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(httpStatus(failure.code)));
    this->response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(this->response.getStatus()));
    if (!retryAfter.empty())
        this->response.set("Retry-After", retryAfter);
    this->sendJson(body);
}

void CallerExchange::sendJson(const std::string& body)
{
    this->response.setContentType("application/json");
    this->response.sendBuffer(body.data(), body.size());
}

}
