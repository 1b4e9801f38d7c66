#include "adapters/http/ServiceHeaders.h"

#include "ports/HeaderText.h"

#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace teaselfold {

namespace {

    /** Hop-by-hop headers, those set anew for each connection, and the caller's token; in lower case. */
    constexpr std::array strippedHeaders {
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

    bool isForwarded(const std::string& name)
    {
        const std::string lower = Poco::toLower(name);
        return std::ranges::find(strippedHeaders, lower) == strippedHeaders.end();
    }

}

Outcome<std::vector<Header>> forwardedHeaders(const Poco::Net::HTTPServerRequest& request)
{
    std::vector<Header> headers;
    for (const auto& [name, value] : request) {
        // POCO decodes the encoded words of RFC 2047, which may contain line ends.
        if (!isHeaderValue(value))
            return Failure { ErrorCode::BadRequest, "a header value contains control characters", Executed::No };
        if (isForwarded(name))
            headers.push_back({ name, value });
    }
    return headers;
}

void sendServiceResponse(Poco::Net::HTTPServerResponse& response, const CallerServiceResponse& serviceResponse)
{
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(serviceResponse.status));
    response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
    for (const Header& header : serviceResponse.headers)
        if (isForwarded(header.name))
            response.add(header.name, header.value);
    if (serviceResponse.replayed)
        response.set("Teaselfold-Replayed", "true");
    response.sendBuffer(serviceResponse.body.data(), serviceResponse.body.size());
}

}
