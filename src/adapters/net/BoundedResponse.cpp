#include "adapters/net/BoundedResponse.h"

#include "adapters/net/BodyDecoder.h"
#include "ports/HttpStatus.h"

#include <Poco/Net/NetException.h>

#include <optional>
#include <string>
#include <vector>

namespace teaselfold {

namespace {

    /** Limit on interim responses before the final one. */
    constexpr int maxInterimResponses = 16;

    /** POCO takes any word for a version, and any number of up to three characters for a status. */
    bool isStatusLine(const Poco::Net::HTTPResponse& response)
    {
        const bool isKnownVersion = response.getVersion() == Poco::Net::HTTPMessage::HTTP_1_1
            || response.getVersion() == Poco::Net::HTTPMessage::HTTP_1_0;
        return isKnownVersion && isHttpStatus(response.getStatus());
    }

    /** @return the framing of the body; nothing for conflicting or unknown framing. */
    std::optional<BodyFraming> framingOf(const Poco::Net::HTTPResponse& response)
    {
        ResponseHead head { static_cast<std::uint16_t>(response.getStatus()), response.getReason(), {} };
        for (const auto& [name, value] : response)
            head.fields.push_back({ name, value });
        const auto framing = responseFraming(head);
        const auto* known = std::get_if<BodyFraming>(&framing);
        return known ? std::optional(*known) : std::nullopt;
    }

}

std::istream& receiveHead(BoundedSession& session, Poco::Net::HTTPResponse& response)
{
    for (int interim = 0; interim <= maxInterimResponses; ++interim) {
        std::istream& stream = session.receiveResponse(response);
        // The end of the connection was read while the head was, so the head's own end was not there.
        if (session.hasEnded())
            throw Poco::Net::MessageException("connection ended within a head");
        if (!isStatusLine(response))
            throw Poco::Net::MessageException("not a status line of HTTP/1");
        if (isFinalHttpStatus(response.getStatus()))
            return stream;
        // What follows is in a protocol that no request asks for.
        if (response.getStatus() == Poco::Net::HTTPResponse::HTTP_SWITCHING_PROTOCOLS)
            throw Poco::Net::MessageException("unrequested switch of protocols");
    }
    throw Poco::Net::MessageException("too many interim responses");
}

bool receiveBody(BoundedSession& session, const Poco::Net::HTTPResponse& response,
    const std::function<bool(std::string_view)>& append)
{
    constexpr std::size_t partBytes = 65536;
    const auto framing = framingOf(response);
    if (!framing)
        return false;
    BodyDecoder decoder(*framing);
    std::vector<char> received(partBytes);
    std::string part;
    while (!decoder.isComplete()) {
        const std::size_t count = session.receiveBytes(received.data(), received.size());
        if (count == 0)
            decoder.connectionClosed();
        const std::size_t used = decoder.feed({ received.data(), count }, part);
        if (decoder.isMalformed() || (!part.empty() && !append(part)))
            return false;
        part.clear();
        if (count == 0)
            return decoder.isComplete();
        // Bytes beyond the body answer no request, so the connection is not used again.
        if (used < count)
            session.reset();
    }
    return true;
}

}
