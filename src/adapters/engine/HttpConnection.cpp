#include "adapters/engine/HttpConnection.h"

#include "adapters/net/BoundedResponse.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>

#include <sstream>

namespace teaselfold::Internal {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

namespace {

    /** Limit of a response that is no stream. */
    constexpr std::size_t maxResponseBytes = std::size_t { 1024 } * 1024;

}

Poco::Timespan toTimespan(Milliseconds time)
{
    return Poco::Timespan(std::chrono::duration_cast<Microseconds>(time).count());
}

std::unique_ptr<BoundedSession> openConnection(BoundedSocket socket, const Address& address,
    Milliseconds connectTimeout, Milliseconds receiveTimeout, const ExchangeBudget& budget)
{
    try {
        socket.connect(Poco::Net::SocketAddress(address.host, address.port), toTimespan(connectTimeout));
        socket.setNoDelay(true);
        socket.setSendTimeout(toTimespan(receiveTimeout));
        socket.setReceiveTimeout(toTimespan(receiveTimeout));
        socket.beginExchange(budget);
        auto session = std::make_unique<BoundedSession>(socket);
        session->setTimeout(toTimespan(receiveTimeout));
        session->setKeepAlive(false);
        return session;
    } catch (const Poco::Exception&) {
        return nullptr;
    }
}

HttpExchangeResult exchange(const BoundedSocket& socket, const Address& address, Milliseconds timeout,
    const std::string& method, const std::string& path, const std::string& body)
{
    const auto session = openConnection(
        socket, address, timeout, timeout, { std::chrono::steady_clock::now() + timeout + timeout, maxResponseBytes });
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
        receiveHead(*session, response);
        HttpExchangeResult result { true, static_cast<std::uint16_t>(response.getStatus()), {} };
        const auto append = [&](std::string_view bytes) {
            result.body.append(bytes);
            return true;
        };
        return receiveBody(*session, response, append) ? result : HttpExchangeResult {};
    } catch (const Poco::Exception&) {
        return {};
    }
}

}
