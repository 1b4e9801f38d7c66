#include "adapters/net/BoundedResponse.h"

#include "ports/HttpStatus.h"

#include <Poco/Net/NetException.h>

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

}

std::istream& receiveHead(
    Poco::Net::HTTPClientSession& session, const BoundedSocket& socket, Poco::Net::HTTPResponse& response)
{
    for (int interim = 0; interim <= maxInterimResponses; ++interim) {
        std::istream& stream = session.receiveResponse(response);
        // The end of the connection was read while the head was, so the head's own end was not there.
        if (socket.hasEnded())
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

bool receiveBody(std::istream& stream, const BoundedSocket& socket, const Poco::Net::HTTPResponse& response,
    const std::function<bool(std::string_view)>& append)
{
    constexpr std::size_t chunkBytes = 65536;
    std::vector<char> chunk(chunkBytes);
    std::size_t received = 0;
    while (stream.read(chunk.data(), static_cast<std::streamsize>(chunk.size())) || stream.gcount() > 0) {
        const auto count = static_cast<std::size_t>(stream.gcount());
        received += count;
        if (!append({ chunk.data(), count }))
            return false;
    }
    if (stream.bad())
        return false;
    const bool isBodiless = response.getStatus() == Poco::Net::HTTPResponse::HTTP_NO_CONTENT
        || response.getStatus() == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
    if (isBodiless)
        return true;
    if (response.getChunkedTransferEncoding())
        return !socket.hasEnded();
    return !response.hasContentLength() || received == static_cast<std::size_t>(response.getContentLength64());
}

}
