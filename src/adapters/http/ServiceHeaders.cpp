#include "adapters/http/ServiceHeaders.h"

#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace teaselfold {

namespace {

    constexpr std::array connectionHeaders {
        std::string_view { "connection" },
        std::string_view { "keep-alive" },
        std::string_view { "proxy-authenticate" },
        std::string_view { "proxy-authorization" },
        std::string_view { "te" },
        std::string_view { "trailer" },
        std::string_view { "transfer-encoding" },
        std::string_view { "upgrade" },
        std::string_view { "expect" },
        std::string_view { "content-length" },
        std::string_view { "host" },
        std::string_view { "authorization" },
    };

    bool isPassedOn(const std::string& name)
    {
        const std::string lower = Poco::toLower(name);
        return std::ranges::find(connectionHeaders, lower) == connectionHeaders.end();
    }

}

std::vector<Header> forwardedHeaders(const Poco::Net::HTTPServerRequest& request)
{
    std::vector<Header> headers;
    for (const auto& [name, value] : request)
        if (isPassedOn(name))
            headers.push_back({ name, value });
    return headers;
}

void sendServiceAnswer(Poco::Net::HTTPServerResponse& response, const CallerServiceResponse& answer)
{
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
    response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
    for (const Header& header : answer.headers)
        if (isPassedOn(header.name))
            response.add(header.name, header.value);
    if (answer.replayed)
        response.set("Teaselfold-Replayed", "true");
    response.sendBuffer(answer.body.data(), answer.body.size());
}

}
