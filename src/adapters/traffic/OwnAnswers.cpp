#include "adapters/traffic/OwnAnswers.h"

#include <Poco/Net/HTTPResponse.h>

#include <array>
#include <cstdio>

namespace teaselfold {

namespace {

    constexpr std::uint16_t badGateway = 502;

    std::uint16_t statusOf(const Failure& failure)
    {
        const std::uint16_t status = httpStatus(failure.code);
        return failure.run != Executed::No && promisesNotExecuted(status) ? badGateway : status;
    }

    std::string reasonOf(std::uint16_t status)
    {
        using Poco::Net::HTTPResponse;
        return HTTPResponse::getReasonForStatus(static_cast<HTTPResponse::HTTPStatus>(status));
    }

    std::string secondsText(Milliseconds time)
    {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(time).count());
        return text.data();
    }

    /** Texts of ours need no escapes, but a caller's id may. */
    std::string quoted(std::string_view text)
    {
        std::string result = "\"";
        for (const char character : text) {
            const bool plain = static_cast<unsigned char>(character) >= 0x20 && character != '"' && character != '\\';
            result += plain ? character : '?';
        }
        return result + "\"";
    }

    OwnAnswer closing(OwnAnswer answer)
    {
        ResponseHead head = answer.head;
        head.fields.push_back({ "Content-Length", std::to_string(answer.body.size()) });
        head.fields.push_back({ "Connection", "close" });
        answer.bytes = printHead(head) + answer.body;
        return answer;
    }

}

OwnAnswer failureAnswer(const Failure& failure, const std::string& callerRequestId)
{
    OwnAnswer answer;
    answer.head.status = statusOf(failure);
    answer.head.reason = reasonOf(answer.head.status);
    answer.head.fields.push_back({ "Content-Type", "application/json" });
    if (failure.retryAfter > Milliseconds(0) && failure.run == Executed::No)
        answer.head.fields.push_back({ "Retry-After", secondsText(failure.retryAfter) });
    answer.body = "{\"error\":{\"code\":" + quoted(errorCodeName(failure.code))
        + ",\"message\":" + quoted(failure.message) + ",\"run\":" + quoted(executedName(failure.run))
        + ",\"request\":" + quoted(callerRequestId) + "}}";
    return answer;
}

OwnAnswer rejectionAnswer(std::uint16_t status, const std::string& reason)
{
    OwnAnswer answer;
    answer.head.status = status;
    answer.head.reason = reasonOf(status);
    answer.head.fields.push_back({ "Content-Type", "application/json" });
    answer.body = "{\"error\":{\"code\":\"bad_request\",\"message\":" + quoted(reason) + ",\"run\":\"no\"}}";
    return closing(std::move(answer));
}

OwnAnswer pageAnswer(std::uint16_t status, const std::string& text)
{
    OwnAnswer answer;
    answer.head.status = status;
    answer.head.reason = reasonOf(status);
    answer.head.fields.push_back({ "Content-Type", "text/plain" });
    answer.body = text;
    return closing(std::move(answer));
}

}
