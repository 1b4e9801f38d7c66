#include "adapters/engine/HttpConnection.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>

#include <sstream>

namespace teaselfold::Internal {

using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

Poco::Timespan timespanOf(Milliseconds time)
{
    return Poco::Timespan(std::chrono::duration_cast<Microseconds>(time).count());
}

std::unique_ptr<HTTPClientSession> openConnection(
    const Address& address, Milliseconds connectLimit, Milliseconds receiveLimit)
{
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(address.host, address.port), timespanOf(connectLimit));
        socket.setNoDelay(true);
        socket.setSendTimeout(timespanOf(receiveLimit));
        socket.setReceiveTimeout(timespanOf(receiveLimit));
        auto session = std::make_unique<HTTPClientSession>(socket);
        session->setTimeout(timespanOf(receiveLimit));
        session->setKeepAlive(false);
        return session;
    } catch (const Poco::Exception&) {
        return nullptr;
    }
}

HttpAnswer exchange(const Address& address, Milliseconds limit, const std::string& method, const std::string& path,
    const std::string& body)
{
    const auto session = openConnection(address, limit, limit);
    if (!session)
        return {};
    try {
        HTTPRequest request(method, path, HTTPRequest::HTTP_1_1);
        request.setHost(address.host, address.port);
        if (!body.empty())
            request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session->sendRequest(request) << body;
        HTTPResponse response;
        std::istream& stream = session->receiveResponse(response);
        HttpAnswer answer { true, static_cast<std::uint16_t>(response.getStatus()), {} };
        Poco::StreamCopier::copyToString(stream, answer.body);
        return answer;
    } catch (const Poco::Exception&) {
        return {};
    }
}

}
