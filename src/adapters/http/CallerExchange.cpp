#include "adapters/http/CallerExchange.h"

#include "adapters/http/ErrorBody.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace teaselfold {

namespace {

    constexpr Milliseconds presenceCheckPeriod { 250 };
    constexpr std::size_t readChunk = 16384;
    constexpr std::size_t maximumTeamLength = 128;
    const std::string bearerPrefix = "Bearer ";

    Failure badRequest(std::string message) { return { ErrorCode::BadRequest, std::move(message), Executed::No }; }

    std::optional<std::int64_t> wholeNumber(const std::string& text)
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

Failure routerBusy() { return { ErrorCode::QueueFull, "this entry is busy", Executed::No, Seconds(1) }; }

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
    this->context.receiveWatch.received(this->request.clientAddress().toString());
    if (!this->registration)
        return;
    const RequestId id = this->registration->request;
    this->context.registry.remove(id);
    if (this->posted && !this->closed)
        this->context.router.push(CallerDisconnected { id });
}

Outcome<CallerIdentity> CallerExchange::identify() const
{
    CallerIdentity identity { TeamId(this->request.get("Teaselfold-Team", "")), this->context.limits.defaultDeadline };
    const std::string& team = identity.team.get();
    if (team.empty() || team.size() > maximumTeamLength)
        return badRequest("the header Teaselfold-Team must have 1 to 128 bytes");
    if (this->request.has("Teaselfold-Deadline-Ms")) {
        const auto deadline = wholeNumber(this->request.get("Teaselfold-Deadline-Ms"));
        if (!deadline || *deadline < 1 || Milliseconds(*deadline) > this->context.limits.maxDeadline)
            return badRequest("the header Teaselfold-Deadline-Ms must be a whole number from 1 to "
                + std::to_string(this->context.limits.maxDeadline.count()));
        identity.budget = Milliseconds(*deadline);
    }
    if (const auto refusal = this->context.teams.check(identity.team, bearerToken(this->request)))
        return *refusal;
    return identity;
}

Outcome<std::string> CallerExchange::readBody()
{
    const std::size_t limit = this->context.limits.maxBodyBytes;
    const Failure tooLarge { ErrorCode::TooLarge, "the body has more than " + std::to_string(limit) + " bytes",
        Executed::No };
    const bool sized = this->request.hasContentLength();
    if (sized && this->request.getContentLength64() > static_cast<std::int64_t>(limit))
        return tooLarge;
    std::string body;
    std::array<char, readChunk> chunk {};
    std::istream& stream = this->request.stream();
    const bool hasBody = sized || this->request.getChunkedTransferEncoding();
    while (hasBody && stream.good()) {
        stream.read(chunk.data(), chunk.size());
        body.append(chunk.data(), static_cast<std::size_t>(stream.gcount()));
        if (body.size() > limit)
            return tooLarge;
    }
    this->context.receiveWatch.received(this->request.clientAddress().toString());
    if (sized && static_cast<std::int64_t>(body.size()) != this->request.getContentLength64())
        return badRequest("the body was cut off");
    return body;
}

RequestId CallerExchange::open(std::size_t capacity)
{
    this->registration = this->context.registry.add(capacity);
    return this->registration->request;
}

bool CallerExchange::post(RouterEvent event)
{
    this->posted = this->context.router.tryPush(std::move(event));
    return this->posted;
}

void CallerExchange::consumed(std::uint32_t nextIndex)
{
    this->context.router.push(CallerConsumed { this->registration->request, nextIndex });
}

std::optional<CallerMessage> CallerExchange::next()
{
    while (true) {
        auto message = this->registration->ring->popUntil(std::chrono::steady_clock::now() + presenceCheckPeriod);
        if (message)
            return message;
        if (this->registration->ring->isClosed() || this->callerLeft())
            return std::nullopt;
    }
}

bool CallerExchange::callerLeft()
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
