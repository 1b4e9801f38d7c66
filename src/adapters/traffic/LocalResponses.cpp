#include "adapters/traffic/LocalResponses.h"

#include <Poco/Net/HTTPResponse.h>

#include <array>
#include <cstdio>

namespace teaselfold {

namespace {

    constexpr std::uint16_t statusBadGateway = 502;

    std::uint16_t statusOf(const Failure& failure)
    {
        const std::uint16_t status = httpStatus(failure.code);
        return failure.run != Executed::No && promisesNotExecuted(status) ? statusBadGateway : status;
    }

    std::string reasonOf(std::uint16_t status)
    {
        using Poco::Net::HTTPResponse;
        return HTTPResponse::getReasonForStatus(static_cast<HTTPResponse::HTTPStatus>(status));
    }

    std::string formatSeconds(Milliseconds time)
    {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(time).count());
        return text.data();
    }

    /** Quotes a text for JSON. Replaces characters that need escaping, which are expected only in a caller's id. */
    std::string quoteJson(std::string_view text)
    {
        std::string result = "\"";
        for (const char character : text) {
            const bool plain = static_cast<unsigned char>(character) >= 0x20 && character != '"' && character != '\\';
            result += plain ? character : '?';
        }
        return result + "\"";
    }

    LocalResponse withConnectionClose(LocalResponse response)
    {
        ResponseHead head = response.head;
        head.fields.push_back({ "Content-Length", std::to_string(response.body.size()) });
        head.fields.push_back({ "Connection", "close" });
        response.bytes = serializeHead(head) + response.body;
        return response;
    }

}

LocalResponse failureResponse(const Failure& failure, const std::string& callerRequestId)
{
    LocalResponse response;
    response.head.status = statusOf(failure);
    response.head.reason = reasonOf(response.head.status);
    response.head.fields.push_back({ "Content-Type", "application/json" });
    if (failure.retryAfter > Milliseconds(0) && failure.run == Executed::No)
        response.head.fields.push_back({ "Retry-After", formatSeconds(failure.retryAfter) });
    response.body = "{\"error\":{\"code\":" + quoteJson(errorCodeName(failure.code))
        + ",\"message\":" + quoteJson(failure.message) + ",\"run\":" + quoteJson(executedName(failure.run))
        + ",\"request\":" + quoteJson(callerRequestId) + "}}";
    return response;
}

LocalResponse closingFailureResponse(const Failure& failure, const std::string& callerRequestId)
{
    return withConnectionClose(failureResponse(failure, callerRequestId));
}

LocalResponse rejectionResponse(std::uint16_t status, const std::string& reason)
{
    LocalResponse response;
    response.head.status = status;
    response.head.reason = reasonOf(status);
    response.head.fields.push_back({ "Content-Type", "application/json" });
    response.body = "{\"error\":{\"code\":\"bad_request\",\"message\":" + quoteJson(reason) + ",\"run\":\"no\"}}";
    return withConnectionClose(std::move(response));
}

LocalResponse plainTextResponse(std::uint16_t status, const std::string& text)
{
    LocalResponse response;
    response.head.status = status;
    response.head.reason = reasonOf(status);
    response.head.fields.push_back({ "Content-Type", "text/plain" });
    response.body = text;
    return withConnectionClose(std::move(response));
}

}
